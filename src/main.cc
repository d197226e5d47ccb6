// Entry point of the one binary: picks the subcommand.

#include "mimosagauge/impl/app/subcommands.h"

int main(int argc, char** argv) {
  return mimosagauge::RunSubcommand(argc, argv);
}
