#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

// The WebSocket library hands out whole messages only. These types, which it
// takes as its message buffers, show how much of one has arrived.

namespace daisyarch {

class CountedMessages;

class CountedMessage
    : public websocketpp::message_buffer::message<
          websocketpp::message_buffer::alloc::con_msg_manager> {
 public:
  using Base = websocketpp::message_buffer::message<
      websocketpp::message_buffer::alloc::con_msg_manager>;
  // The library requires the names in lower case.
  // NOLINTBEGIN(readability-identifier-naming)
  using ptr = std::shared_ptr<CountedMessage>;

  explicit CountedMessage(std::weak_ptr<CountedMessages> messages)
      : Base(nullptr), m_messages(std::move(messages)) {}
  CountedMessage(std::weak_ptr<CountedMessages> messages,
                 websocketpp::frame::opcode::value opcode, std::size_t size)
      : Base(nullptr, opcode, size), m_messages(std::move(messages)) {}

  /// The library takes the payload anew for each piece that it appends.
  std::string& get_raw_payload();
  // NOLINTEND(readability-identifier-naming)

  const std::weak_ptr<CountedMessages>& messages() const { return m_messages; }

 private:
  std::weak_ptr<CountedMessages> m_messages;
};

/// Makes the messages of one connection.
class CountedMessages : public std::enable_shared_from_this<CountedMessages> {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  using ptr = std::shared_ptr<CountedMessages>;
  using weak_ptr = std::weak_ptr<CountedMessages>;
  using message_ptr = CountedMessage::ptr;

  message_ptr get_message() {
    return std::make_shared<CountedMessage>(weak_from_this());
  }
  message_ptr get_message(websocketpp::frame::opcode::value opcode,
                          std::size_t size) {
    return std::make_shared<CountedMessage>(weak_from_this(), opcode, size);
  }
  // NOLINTEND(readability-identifier-naming)

  /// Learns the bytes of a message of which a part has arrived; may be empty.
  std::function<void(std::size_t)> m_on_growth;
};

inline std::string& CountedMessage::get_raw_payload() {
  std::string& payload = Base::get_raw_payload();
  if (payload.empty()) return payload;
  const auto messages = m_messages.lock();
  if (messages && messages->m_on_growth) messages->m_on_growth(payload.size());
  return payload;
}

}  // namespace daisyarch
