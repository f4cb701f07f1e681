#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "settings/site_settings.h"

namespace daisyarch {

/// Reloads a settings file on SIGHUP and when its text has changed. A file that
/// cannot be read or parsed is logged and leaves the settings in force.
class SettingsReload : public std::enable_shared_from_this<SettingsReload> {
 public:
  using Handler = std::function<void(const SiteSettings&)>;

  /// Starts watching the file. The watch lasts as long as the loop.
  static void Start(boost::asio::io_context& loop, const std::string& path,
                    Handler on_settings);

 private:
  SettingsReload(boost::asio::io_context& loop, std::string path,
                 Handler on_settings);

  void WaitForSignal();
  void PollForChange();
  void Reload();

  std::string m_path;
  std::string m_text;
  Handler m_on_settings;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
};

}  // namespace daisyarch
