#pragma once

#include <functional>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

// The node's loop is charged for each call and each answer. A call leaves the
// node when the loop has done what it was charged until then.

Store ChargeStore(FakeSite& site, FakeSiteNode& node, Store store);
OrderSender ChargeOrders(FakeSite& site, FakeSiteNode& node,
                         OrderSender orders);
/// The call is charged with its orders, and the answer with its outcomes.
RelayCaller ChargeRelays(FakeSite& site, FakeSiteNode& node, RelayCaller call);

/// Sends a message from one node to another, where `handle` runs unless that
/// node is killed before. Both loops are charged.
void SendToNode(FakeSite& site, FakeSiteNode& from, FakeSiteNode& to,
                std::function<void()> handle);

}  // namespace daisyarch::fleet
