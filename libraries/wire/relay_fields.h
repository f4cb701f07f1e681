#pragma once

#include <string>

#include "decisions/fleet/relay_messages.h"

namespace daisyarch::fleet {

/// Returns the bytes of a message.
std::string WriteRelayCall(const RelayCall& call);
std::string WriteRelayAnswer(const RelayAnswer& answer);

/// Reads a message; kInvalidArgument if it is malformed or of another version.
Result<RelayCall> ReadRelayCall(const std::string& bytes,
                                const std::string& peer);
Result<RelayAnswer> ReadRelayAnswer(const std::string& bytes,
                                    const std::string& peer);

/// Returns the value of a node's entry in the store.
std::string WriteRelayNode(const RelayNode& node);
/// Reads such an entry; kInvalidArgument if it is malformed.
Result<RelayNode> ReadRelayNode(const std::string& value,
                                const std::string& key);

}  // namespace daisyarch::fleet
