package tamarindroute.membership;

import java.util.List;

/** Observes the messages delivered to nodes and the actions of nodes, but not their state. */
interface SimulationObserver {
  default void onDelivery(int node, Message message) {}

  void onActions(int node, List<Action> actions);
}
