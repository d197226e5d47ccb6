// One instance of the gateway as a process, with settings like those that the
// platform renders from deploy/settings.yaml.

#ifndef REVIEW_STAND_GATEWAY_H_
#define REVIEW_STAND_GATEWAY_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace review {

/// \brief Where an instance runs, and where its platform's store is.
struct GatewayPlace {
  std::string node;
  std::string zone;
  std::uint16_t store = 0;
  std::string folder;  ///< For its settings file and its log.
};

class Gateway {
 public:
  /// \brief Renders the settings and starts the command of the deploy file.
  explicit Gateway(const GatewayPlace& place);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// \returns Whether it says within `seconds` that it is ready.
  [[nodiscard]] bool WaitReady(double seconds) const;
  void Signal(int signal) const;
  /// \returns Whether the process has ended by itself within `seconds`.
  bool WaitEnd(double seconds);
  [[nodiscard]] std::uint16_t front() const { return front_; }

 private:
  pid_t process_ = -1;
  std::uint16_t front_ = 0;
  std::uint16_t ready_ = 0;
};

}  // namespace review

#endif  // REVIEW_STAND_GATEWAY_H_
