package tamarindroute.membership;

import java.util.List;

/** Observes the messages delivered to nodes and the actions of nodes, but not their state. */
interface SimulationObserver {
  /** Called before a node handles a message. */
  default void onDelivery(int node, Message message) {}

  /** Called with the actions of one step of a node, before they are performed. */
  void onActions(int node, List<Action> actions);
}
