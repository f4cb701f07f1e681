#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace daisyarch {

/// Version of the member list; each change raises it by one.
using MemberListVersion = StrongId<struct MemberListVersionTag, std::uint64_t>;

/// A node in the member list.
struct Member {
  NodeId m_node;
  Incarnation m_incarnation;
  std::string m_mesh_address;
  std::string m_http_address;
  FailureDomainId m_failure_domain;
};

/// The nodes that share endpoints and partitions. The list is kept in the store
/// and changed by compare-and-swap.
struct MemberList {
  MemberListVersion m_version;
  std::vector<Member> m_members;  ///< Ordered by node.
};

/// Returns the member; null when the node is not listed.
const Member* FindMember(const MemberList& list, const NodeId& node);

/// Returns the list with `member` added, at the next version; an earlier
/// incarnation of the node is replaced. Returns the list unchanged when it
/// already names this incarnation.
MemberList WithMember(const MemberList& list, const Member& member);

/// Returns the list without `node`, at the next version.
MemberList WithoutMember(const MemberList& list, const NodeId& node);

/// Returns the nodes of the list, in order.
std::vector<NodeId> NodesOf(const MemberList& list);

}  // namespace daisyarch
