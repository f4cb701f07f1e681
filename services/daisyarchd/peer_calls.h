#pragma once

#include <string>

#include "configuration_service.h"
#include "gateway.h"
#include "mesh/mesh_server.h"
#include "partition_service.h"

namespace daisyarch {

/// What the calls of other nodes reach.
struct PeerCalls {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  PartitionService& m_partitions;
  Gateway& m_gateway;
};

/// Answers one call of another node; kNotFound for an unknown method,
/// kInvalidArgument for a body that cannot be read.
void HandlePeerCall(PeerCalls& calls, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond);

}  // namespace daisyarch
