#pragma once

#include <functional>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

/// Returns when the node's loop handles an event that is due at `at`; later on
/// a slow node.
TimePoint HandledAt(const FakeSiteNode& node, TimePoint at);

/// Runs a callback at the node after a delay, unless the node is killed before.
void RunAtNode(FakeSite& site, FakeSiteNode& node, Duration delay,
               std::function<void()> run);

/// Returns the node's connections to the store and to the workers, with the
/// faults of the site.
Store MakeStore(FakeSite& site, FakeSiteNode& node);
OrderSender MakeOrderSender(FakeSite& site, FakeSiteNode& node);
/// Returns the node's calls to other nodes as relays.
RelayCaller MakeRelayCaller(FakeSite& site, FakeSiteNode& node);

}  // namespace daisyarch::fleet
