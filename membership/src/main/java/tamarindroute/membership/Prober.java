package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns questions that are open: one's own probes, and those put for others. It must never accuse
 * anybody while this one is not answered by others, nor for an answer that had no time to be read.
 */
final class Prober {

  /** At once, others' included: a member of 5,000 looks at a few suspects a second. */
  private static final int MOST = 64;

  private static final class Probe {
    final Member target;
    final long number;
    final long sentAt;

    /** As it was held when it was asked: what came later is not what was asked. */
    final long incarnation;

    long nextAt;
    int stage;
    boolean refused;

    /** For whom, and its number there; null for one's own. */
    final Member asker;

    final long askerNumber;

    Probe(
        Member target, long number, long sentAt, long incarnation, Member asker, long askerNumber) {
      this.target = target;
      this.number = number;
      this.sentAt = sentAt;
      this.incarnation = incarnation;
      this.asker = asker;
      this.askerNumber = askerNumber;
    }

    Probe copy() {
      Probe copy = new Probe(target, number, sentAt, incarnation, asker, askerNumber);
      copy.nextAt = nextAt;
      copy.stage = stage;
      copy.refused = refused;
      return copy;
    }

    List<Object> key(long since, long now) {
      return List.of(
          target,
          since,
          now - sentAt,
          incarnation,
          nextAt - now,
          stage,
          refused,
          asker == null ? "" : asker,
          askerNumber);
    }
  }

  private final Own own;
  private final Sends sends;
  private final SelfWatch watch;
  private final Suspicion suspicion;
  private final Map<Long, Probe> open = new LinkedHashMap<>();

  /** When the first of them is due; -1 where that is to be found out again. */
  private long first = -1;

  Prober(Own own, Sends sends, SelfWatch watch, Suspicion suspicion) {
    this.own = own;
    this.sends = sends;
    this.watch = watch;
    this.suspicion = suspicion;
  }

  Prober copy(Own other, Sends itsSends, SelfWatch itsWatch, Suspicion itsSuspicion) {
    Prober copy = new Prober(other, itsSends, itsWatch, itsSuspicion);
    open.forEach((number, probe) -> copy.open.put(number, probe.copy()));
    return copy;
  }

  List<Object> key(long now) {
    List<Object> key = new ArrayList<>();
    open.values().forEach(probe -> key.add(probe.key(own.sinceLast(probe.number), now)));
    return key;
  }

  void clear() {
    open.clear();
    first = -1;
  }

  /** Time in which this one did not run is nobody's silence. */
  void shift(long late) {
    if (late > 0) {
      open.values().forEach(probe -> probe.nextAt += late);
      first = -1;
    }
  }

  /** The first moment at which something is due; far away for none. */
  long dueAt() {
    if (first < 0) {
      first = Long.MAX_VALUE;
      for (Probe probe : open.values()) {
        first = Math.min(first, probe.nextAt);
      }
    }
    return first;
  }

  void probe(Entry entry) {
    boolean asked =
        open.values().stream().anyMatch(p -> p.asker == null && p.target.equals(entry.member));
    if (!asked) {
      begin(entry, null, 0);
    }
  }

  void probeFor(Member target, Member asker, long askerNumber) {
    Entry entry = own.roll.find(target);
    if (entry != null) {
      begin(entry, asker, askerNumber);
    }
  }

  private void begin(Entry target, Member asker, long askerNumber) {
    if (open.size() >= MOST) {
      return;
    }
    Probe probe =
        new Probe(target.member, own.number(), own.now, target.incarnation, asker, askerNumber);
    probe.nextAt = own.now + own.health.stage();
    open.put(probe.number, probe);
    first = -1;
    sends.send(Message.Kind.PROBE, target.member, probe.number, own.self);
  }

  void due() {
    if (own.now < dueAt()) {
      return;
    }
    first = -1;
    for (Probe probe : List.copyOf(open.values())) {
      if (probe.nextAt <= own.now) {
        probe.stage++;
        if (probe.asker == null) {
          further(probe);
        } else {
          furtherFor(probe);
        }
        probe.nextAt = own.now + own.health.stage();
      }
    }
  }

  private void further(Probe probe) {
    if (probe.stage >= Health.STAGES) {
      open.remove(probe.number);
      failed(probe);
      return;
    }
    Entry entry = own.roll.find(probe.target);
    if (entry == null || !entry.live()) {
      open.remove(probe.number);
      return;
    }
    if (probe.stage < Health.STAGES - 1) {
      sends.send(Message.Kind.PROBE, probe.target, probe.number, own.self);
      for (Entry other : own.roll.some(own.settings.indirect(), entry, own.draws)) {
        sends.send(Message.Kind.PROBE_FOR, other.member, probe.number, probe.target);
      }
    }
  }

  /**
   * Twice, then once more is listened; whoever asked hears after the first that this one at least
   * is there.
   */
  private void furtherFor(Probe probe) {
    if (probe.stage == 1) {
      sends.send(Message.Kind.PROBE, probe.target, probe.number, own.self);
      sends.send(Message.Kind.NACK, probe.asker, probe.askerNumber, probe.target);
    } else if (probe.stage > 2) {
      open.remove(probe.number);
    }
  }

  private void failed(Probe probe) {
    if (!probe.refused) {
      own.health.worse();
    }
    Entry entry = own.roll.find(probe.target);
    // Only who is itself answered may accuse: else it is more likely that it is cut off.
    boolean mayAccuse =
        !own.settings.guards().health()
            || watch.at(own.now).inTouch()
                && watch.answeredWithin(own.now - probe.sentAt + own.period);
    if (entry != null && entry.live() && entry.incarnation == probe.incarnation && mayAccuse) {
      suspicion.report(entry, own.self.address());
    }
  }

  void answered(Message message) {
    Probe probe = open.get(message.number());
    if (probe == null || !probe.target.equals(message.about())) {
      return;
    }
    open.remove(message.number());
    first = -1;
    if (probe.asker != null) {
      sends.send(Message.Kind.ACK, probe.asker, probe.askerNumber, probe.target, List.of(), true);
      return;
    }
    if (probe.stage == 0) {
      own.health.answered(own.now - probe.sentAt);
    }
    own.health.better();
    watch.answered();
  }

  void refused(Message message) {
    Probe probe = open.get(message.number());
    if (probe != null && probe.asker == null && probe.target.equals(message.about())) {
      probe.refused = true;
      watch.answered();
    }
  }
}
