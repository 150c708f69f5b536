package tamarindroute.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Owns what is still to be passed on: the least often sent first, of these the newest. It must
 * never grow past its bound, nor pass on what a later word about the same member has overtaken.
 */
final class GossipQueue {

  /**
   * Each is sent so many times the logarithm of the members: what is missed then is left to
   * exchanges.
   */
  private static final int TRANSMISSION_FACTOR = 3;

  /** So many at once: a third of 5,000 members dying at one moment, told by two each. */
  private static final int MAX_QUEUED_UPDATES = 4_096;

  private record QueuedUpdate(MembershipUpdate update, int timesSent, long sequence)
      implements Comparable<QueuedUpdate> {
    @Override
    public int compareTo(QueuedUpdate other) {
      return timesSent != other.timesSent
          ? Integer.compare(timesSent, other.timesSent)
          : Long.compare(other.sequence, sequence);
    }
  }

  private final TreeSet<QueuedUpdate> queue = new TreeSet<>();
  private final Map<Address, List<QueuedUpdate>> byAddress = new HashMap<>();
  private long lastSequence;

  GossipQueue copy() {
    GossipQueue copy = new GossipQueue();
    queue.forEach(copy::add);
    copy.lastSequence = lastSequence;
    return copy;
  }

  List<Object> stateKey() {
    List<Object> key = new ArrayList<>();
    queue.forEach(item -> key.add(List.of(item.update, item.timesSent)));
    return key;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Passes this on; earlier words about the same member stay only where both count: several
   * observers' reports.
   */
  void enqueue(MembershipUpdate update) {
    for (QueuedUpdate item :
        List.copyOf(byAddress.getOrDefault(update.member().address(), List.of()))) {
      boolean complementary =
          item.update.state() == MemberState.SUSPECT
              && update.state() == MemberState.SUSPECT
              && item.update.member().equals(update.member())
              && item.update.refutation() == update.refutation()
              && !item.update.observer().equals(update.observer());
      if (!complementary) {
        remove(item);
      }
    }
    lastSequence++;
    add(new QueuedUpdate(update, 0, lastSequence));
    if (queue.size() > MAX_QUEUED_UPDATES) {
      remove(queue.last());
    }
  }

  void clear() {
    queue.clear();
    byAddress.clear();
  }

  /** Drops one's own accusations, as whoever made them did not run. */
  void dropReports(Address observer) {
    for (QueuedUpdate item : List.copyOf(queue)) {
      if (item.update.state() == MemberState.SUSPECT && item.update.observer().equals(observer)) {
        remove(item);
      }
    }
  }

  /** Up to so many to go with one message to one of so many members. */
  List<MembershipUpdate> takeForMessage(int limit, int memberCount) {
    int maxTransmissions = TRANSMISSION_FACTOR * (int) Math.ceil(Math.log(memberCount + 2));
    List<QueuedUpdate> selected = new ArrayList<>(limit);
    for (QueuedUpdate item : queue) {
      if (selected.size() >= limit) {
        break;
      }
      selected.add(item);
    }
    List<MembershipUpdate> updates = new ArrayList<>(selected.size());
    for (QueuedUpdate item : selected) {
      remove(item);
      updates.add(item.update);
      if (item.timesSent + 1 < maxTransmissions) {
        add(new QueuedUpdate(item.update, item.timesSent + 1, item.sequence));
      }
    }
    return updates;
  }

  private void add(QueuedUpdate item) {
    queue.add(item);
    byAddress
        .computeIfAbsent(item.update.member().address(), address -> new ArrayList<>(1))
        .add(item);
  }

  private void remove(QueuedUpdate item) {
    queue.remove(item);
    List<QueuedUpdate> ofSameMember = byAddress.get(item.update.member().address());
    ofSameMember.remove(item);
    if (ofSameMember.isEmpty()) {
      byAddress.remove(item.update.member().address());
    }
  }
}
