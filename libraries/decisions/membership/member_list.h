#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace daisyarch {

/// Counts the changes of the member list.
using MemberListVersion = StrongId<struct MemberListVersionTag, std::uint64_t>;

/// A node that takes part.
struct Member {
  NodeId m_node;
  Incarnation m_incarnation;
  std::string m_mesh_address;
  std::string m_http_address;
  FailureDomainId m_failure_domain;
};

/// The nodes that share endpoints and partitions; kept in the store and
/// changed by compare-and-swap.
struct MemberList {
  MemberListVersion m_version;
  std::vector<Member> m_members;  ///< Ordered by node.
};

/// The member, or null.
const Member* FindMember(const MemberList& list, const NodeId& node);

/// The list after `member` joined, one version on. A run that is listed
/// already gives the list unchanged.
MemberList WithMember(const MemberList& list, const Member& member);

/// The list without `node`, one version on.
MemberList WithoutMember(const MemberList& list, const NodeId& node);

/// The nodes of the list.
std::vector<NodeId> NodesOf(const MemberList& list);

}  // namespace daisyarch
