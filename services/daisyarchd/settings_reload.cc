#include "settings_reload.h"

#include <csignal>
#include <utility>

#include "log/log.h"

namespace daisyarch {

namespace {
constexpr Duration kPollInterval = std::chrono::seconds(1);
}  // namespace

SettingsReload::SettingsReload(boost::asio::io_context& loop, std::string path,
                               Handler on_settings)
    : m_path(std::move(path)),
      m_on_settings(std::move(on_settings)),
      m_signals(loop, SIGHUP),
      m_timer(loop) {}

void SettingsReload::Start(boost::asio::io_context& loop,
                           const std::string& path, Handler on_settings) {
  std::shared_ptr<SettingsReload> reload(
      new SettingsReload(loop, path, std::move(on_settings)));
  const auto text = ReadSettingsText(path);
  if (text) reload->m_text = text.assume_value();
  reload->WaitForSignal();
  reload->PollForChange();
}

void SettingsReload::WaitForSignal() {
  m_signals.async_wait(
      [self = shared_from_this()](boost::system::error_code code, int) {
        if (code) return;
        self->Reload();
        self->WaitForSignal();
      });
}

void SettingsReload::PollForChange() {
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code code) {
        if (code) return;
        const auto text = ReadSettingsText(self->m_path);
        if (text && text.assume_value() != self->m_text) self->Reload();
        self->PollForChange();
      });
}

void SettingsReload::Reload() {
  const auto text = ReadSettingsText(m_path);
  if (!text) return LogError("settings_unreadable", text.assume_error());
  m_text = text.assume_value();
  const auto settings = ParseSiteSettings(m_text, m_path);
  if (!settings) return LogError("settings_invalid", settings.assume_error());
  m_on_settings(settings.assume_value());
}

}  // namespace daisyarch
