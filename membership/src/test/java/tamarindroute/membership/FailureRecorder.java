package tamarindroute.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records which members have declared each killed member faulty, and counts the declarations of
 * members that were not killed.
 */
final class FailureRecorder implements SimulationObserver {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MembershipSimulator simulator;
  private final boolean ignoresFirst;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final Map<Integer, Set<Integer>> observersByKilled = new HashMap<>();
  private double lastDeclaredSeconds;
  private long falseDeclarations;

  /**
   * Starts to record the actions of a simulation.
   *
   * @param ignoresFirst whether declarations by and about the first member are ignored, because the
   *     links from it are cut
   */
  FailureRecorder(MembershipSimulator simulator, boolean ignoresFirst) {
    this.simulator = simulator;
    this.ignoresFirst = ignoresFirst;
    for (int i = 0; i < simulator.nodes.size(); i++) {
      indexByAddress.put(simulator.nodes.get(i).address, i);
    }
    simulator.observers.add(this);
  }

  @Override
  public void onActions(int node, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.StateChanged change && change.state() == MemberState.FAULTY) {
        onFaulty(node, indexByAddress.get(change.member().address()));
      }
    }
  }

  private void onFaulty(int observer, int subject) {
    if (simulator.nodes.get(subject).killed) {
      observersByKilled.computeIfAbsent(subject, key -> new HashSet<>()).add(observer);
      lastDeclaredSeconds = simulator.now().toNanos() / NANOS_PER_SECOND;
    } else if (!ignoresFirst || subject != 0) {
      falseDeclarations++;
    }
  }

  /** Returns the virtual time of the last declaration of a killed member; 0 if there was none. */
  double lastDeclaredSeconds() {
    return lastDeclaredSeconds;
  }

  /** Returns how often a member that was not killed was declared faulty. */
  long falseDeclarations() {
    return falseDeclarations;
  }

  /** Returns the number of members that declared a killed member faulty. */
  long observerCount(int killed) {
    return observersByKilled.getOrDefault(killed, Set.of()).stream()
        .filter(observer -> !ignoresFirst || observer != 0)
        .count();
  }
}
