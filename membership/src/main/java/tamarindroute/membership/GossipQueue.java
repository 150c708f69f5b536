package tamarindroute.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue of membership updates that still have to be disseminated by gossip. Updates that were sent
 * least often come first. Among updates sent equally often the newest comes first.
 *
 * <p>Bounded: a full queue drops the last update in that order. An update replaces earlier updates
 * about the same member.
 */
final class GossipQueue {

  /**
   * Each update is sent this number of times the natural logarithm of the number of members.
   * Members that still miss it receive the state by a state exchange.
   */
  private static final int TRANSMISSION_FACTOR = 3;

  /** Enough for a third of 5,000 members that fail at once, each reported by two observers. */
  private static final int MAX_QUEUED_UPDATES = 4_096;

  private record QueuedUpdate(MembershipUpdate update, int timesSent, long sequence)
      implements Comparable<QueuedUpdate> {
    @Override
    public int compareTo(QueuedUpdate other) {
      return timesSent != other.timesSent
          ? Integer.compare(timesSent, other.timesSent)
          : Long.compare(other.sequence, sequence);
    }

    Address address() {
      return update.member().address();
    }

    QueuedUpdate sentOnceMore() {
      return new QueuedUpdate(update, timesSent + 1, sequence);
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
    queue.forEach(queued -> key.add(List.of(queued.update, queued.timesSent)));
    return key;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Adds an update and removes earlier updates about the same member. Reports of the same suspicion
   * by different observers are all kept, because the number of observers decides on a cut.
   */
  void enqueue(MembershipUpdate update) {
    Address address = update.member().address();
    for (QueuedUpdate queued : List.copyOf(byAddress.getOrDefault(address, List.of()))) {
      if (!isReportOfSameSuspicion(queued.update, update)) {
        remove(queued);
      }
    }
    lastSequence++;
    add(new QueuedUpdate(update, 0, lastSequence));
    if (queue.size() > MAX_QUEUED_UPDATES) {
      remove(queue.last());
    }
  }

  private static boolean isReportOfSameSuspicion(MembershipUpdate first, MembershipUpdate second) {
    return first.state() == MemberState.SUSPECT
        && second.state() == MemberState.SUSPECT
        && first.member().equals(second.member())
        && first.refutation() == second.refutation()
        && !first.observer().equals(second.observer());
  }

  void clear() {
    queue.clear();
    byAddress.clear();
  }

  /** Removes the queued reports of suspects that were made by the given observer. */
  void dropReports(Address observer) {
    for (QueuedUpdate queued : List.copyOf(queue)) {
      MembershipUpdate update = queued.update;
      if (update.state() == MemberState.SUSPECT && update.observer().equals(observer)) {
        remove(queued);
      }
    }
  }

  /**
   * Returns the updates for one message and counts them as sent once more. Updates that were sent
   * often enough leave the queue.
   *
   * @param limit maximum number of updates returned
   * @param memberCount number of live members, which determines how often an update is sent
   */
  List<MembershipUpdate> takeForMessage(int limit, int memberCount) {
    int maxTransmissions = TRANSMISSION_FACTOR * (int) Math.ceil(Math.log(memberCount + 2));
    List<MembershipUpdate> updates = new ArrayList<>(limit);
    for (QueuedUpdate queued : first(limit)) {
      updates.add(queued.update);
      remove(queued);
      if (queued.timesSent + 1 < maxTransmissions) {
        add(queued.sentOnceMore());
      }
    }
    return updates;
  }

  private List<QueuedUpdate> first(int limit) {
    List<QueuedUpdate> selected = new ArrayList<>(limit);
    for (QueuedUpdate queued : queue) {
      if (selected.size() >= limit) {
        break;
      }
      selected.add(queued);
    }
    return selected;
  }

  private void add(QueuedUpdate queued) {
    queue.add(queued);
    byAddress.computeIfAbsent(queued.address(), address -> new ArrayList<>(1)).add(queued);
  }

  private void remove(QueuedUpdate queued) {
    queue.remove(queued);
    List<QueuedUpdate> ofSameMember = byAddress.get(queued.address());
    ofSameMember.remove(queued);
    if (ofSameMember.isEmpty()) {
      byAddress.remove(queued.address());
    }
  }
}
