#include "decisions/membership/member_list.h"

#include <algorithm>

namespace daisyarch {

const Member* FindMember(const MemberList& list, const NodeId& node) {
  for (const Member& member : list.m_members) {
    if (member.m_node == node) return &member;
  }
  return nullptr;
}

MemberList WithMember(const MemberList& list, const Member& member) {
  const Member* present = FindMember(list, member.m_node);
  if (present != nullptr && present->m_incarnation == member.m_incarnation) {
    return list;
  }
  MemberList next = WithoutMember(list, member.m_node);
  const auto place =
      std::lower_bound(next.m_members.begin(), next.m_members.end(), member,
                       [](const Member& left, const Member& right) {
                         return left.m_node < right.m_node;
                       });
  next.m_members.insert(place, member);
  return next;
}

MemberList WithoutMember(const MemberList& list, const NodeId& node) {
  MemberList next = list;
  next.m_version = Next(list.m_version);
  const auto end = std::remove_if(
      next.m_members.begin(), next.m_members.end(),
      [&](const Member& member) { return member.m_node == node; });
  next.m_members.erase(end, next.m_members.end());
  return next;
}

std::vector<NodeId> NodesOf(const MemberList& list) {
  std::vector<NodeId> nodes;
  nodes.reserve(list.m_members.size());
  for (const Member& member : list.m_members) nodes.push_back(member.m_node);
  return nodes;
}

}  // namespace daisyarch
