#pragma once

#include <string>

#include "configuration_service.h"
#include "gateway.h"
#include "mesh/mesh_server.h"
#include "partition_service.h"

namespace daisyarch {

/// The services that calls from other nodes use.
struct PeerCalls {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  PartitionService& m_partitions;
  Gateway& m_gateway;
};

/// Answers one call from another node. kNotFound for an unknown method,
/// kInvalidArgument for a body that cannot be decoded.
void HandlePeerCall(PeerCalls& calls, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond);

}  // namespace daisyarch
