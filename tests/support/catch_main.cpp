// Entry point of the test programs; Catch2 supplies main().
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
