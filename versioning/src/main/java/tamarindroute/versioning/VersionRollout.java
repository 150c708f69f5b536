package tamarindroute.versioning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * State machine on each member that rolls out the next fleet version, see {@link FleetVersion}. The
 * agreed view contains one entry with the fleet version and the phase of the rollout. Only the
 * leader acts, and it proposes one change of that entry at a time.
 *
 * <p>Each proposal replaces only the entry from which it was derived, and a new leader continues
 * from the agreed entry alone. A leader that stops between two changes, or two members that both
 * act as leader, therefore leave no change half done. Each leader measures with its own clock for
 * how long the peers have reported that they support the next version.
 */
public final class VersionRollout {
  /** Entry number that stands for no entry. */
  private static final long NO_ENTRY = -1;

  private final RolloutSettings settings;
  private final Map<String, PeerSupport> supportByPeer = new HashMap<>();

  /** Number of the last agreed entry, kept while out of contact. */
  private long entryNumber = NO_ENTRY;

  /** The agreed fleet version; null before the first one and while out of contact. */
  private FleetVersion version;

  private Set<String> peers = Set.of();

  /** When the duration of the present phase started to count. */
  private Duration phaseSince = Duration.ZERO;

  /** Number of the entry for which a replacement was proposed and not rejected. */
  private long proposedEntry = NO_ENTRY;

  private boolean leader;

  /** The fleet version that operators request; null for no change. */
  private Integer target;

  /** The last text sent to operators, so that it is not repeated; empty for none. */
  private String lastNotice = "";

  /** Creates the state machine of a member that has received no agreed entry yet. */
  public VersionRollout(RolloutSettings settings) {
    this.settings = settings;
  }

  /**
   * Handles an event and decides the next step.
   *
   * @param event the event
   * @param now current monotonic time
   * @return the actions that the caller carries out, in order
   */
  public List<RolloutAction> on(RolloutEvent event, Duration now) {
    if (event instanceof RolloutEvent.VersionAgreed agreed) {
      onVersionAgreed(agreed, now);
    } else if (event instanceof RolloutEvent.LeadershipChanged change) {
      onLeadershipChanged(change, now);
    } else if (event instanceof RolloutEvent.TargetChanged change) {
      target = change.target().orElse(null);
    } else if (event instanceof RolloutEvent.SupportReported report) {
      onSupportReported(report, now);
    } else if (event instanceof RolloutEvent.ContactLost) {
      version = null;
    }
    return leader && version != null ? decide(now) : List.of();
  }

  /**
   * Records that a proposal was rejected, so that the same entry may get another proposal.
   *
   * @param rejectedEntry the number of the entry that the proposal would have replaced
   */
  public void onProposalRejected(long rejectedEntry) {
    if (proposedEntry == rejectedEntry) {
      proposedEntry = NO_ENTRY;
    }
  }

  /**
   * Records whether this member is the leader and restarts all durations. A new leader cannot tell
   * for how long peers reported support to the previous leader.
   */
  private void onLeadershipChanged(RolloutEvent.LeadershipChanged change, Duration now) {
    leader = change.leader();
    phaseSince = now;
    countReportsFrom(now);
  }

  private void onVersionAgreed(RolloutEvent.VersionAgreed agreed, Duration now) {
    if (agreed.entryNumber() < entryNumber) {
      return;
    }
    if (agreed.entryNumber() > entryNumber || version == null) {
      phaseSince = now;
    }
    if (version == null || agreed.version().settled() != version.settled()) {
      countReportsFrom(now);
    }
    entryNumber = agreed.entryNumber();
    version = agreed.version();
    peers = Set.copyOf(agreed.peers());
    supportByPeer.keySet().retainAll(peers);
  }

  /** Restarts the durations for which peers have reported support. */
  private void countReportsFrom(Duration now) {
    supportByPeer.replaceAll((peer, support) -> support.countedFrom(now));
  }

  private void onSupportReported(RolloutEvent.SupportReported report, Duration now) {
    if (peers.contains(report.peer())) {
      supportByPeer.merge(
          report.peer(),
          new PeerSupport(report.lowest(), report.highest(), now, now),
          (known, later) -> known.followedBy(later, settings.maxSilence()));
    }
  }

  private List<RolloutAction> decide(Duration now) {
    List<RolloutAction> actions = new ArrayList<>();
    int requested = target == null ? version.settled() : target;
    if (requested < version.settled()) {
      notify(
          actions,
          "fleet version "
              + requested
              + " is requested, but version "
              + version.settled()
              + " is settled and can't be reverted");
    }
    boolean raise = requested > version.settled();
    FleetVersion next =
        switch (version.phase()) {
          case STABLE -> raise ? version.proposed() : version;
          case PROPOSED -> afterProposal(raise, actions, now);
          case TRIAL -> afterTrial(raise, actions, now);
        };
    propose(next, actions);
    return actions;
  }

  /**
   * Returns the fleet version that follows phase {@code PROPOSED}. The trial starts once the phase
   * and the peers' reports of support have both lasted for {@code beforeTrial}. Without the
   * condition on the phase, two leaders with different reports could alternately propose a version
   * and revert it without end.
   */
  private FleetVersion afterProposal(boolean raise, List<RolloutAction> actions, Duration now) {
    if (!raise) {
      return version.reverted();
    }
    boolean awaited = awaitsPeer(actions, settings.beforeTrial(), now);
    return awaited || phaseIsShorterThan(settings.beforeTrial(), now) ? version : version.onTrial();
  }

  /**
   * Returns the fleet version that follows phase {@code TRIAL}. A recent report without support for
   * the next version reverts the trial, even if operators still request that version. A peer
   * without a recent report only delays the next step, since its last report may be outdated.
   */
  private FleetVersion afterTrial(boolean raise, List<RolloutAction> actions, Duration now) {
    Optional<String> peerWithoutSupport = firstPeer(peer -> reportsLack(peer, now));
    if (peerWithoutSupport.isPresent()) {
      notify(
          actions,
          "the trial of fleet version "
              + version.next()
              + " is reverted: peer "
              + peerWithoutSupport.get()
              + " does not support it");
    }
    if (!raise || peerWithoutSupport.isPresent()) {
      return version.reverted();
    }
    boolean awaited = awaitsPeer(actions, settings.trial(), now);
    return awaited || phaseIsShorterThan(settings.trial(), now) ? version : version.settledNext();
  }

  private boolean phaseIsShorterThan(Duration span, Duration now) {
    return now.minus(phaseSince).compareTo(span) < 0;
  }

  /**
   * Proposes to replace the agreed entry if the version changes. There is at most one proposal for
   * each entry number unless it is rejected. The next agreed entry shows whether it was accepted.
   */
  private void propose(FleetVersion next, List<RolloutAction> actions) {
    if (!next.equals(version) && proposedEntry != entryNumber) {
      proposedEntry = entryNumber;
      actions.add(new RolloutAction.Propose(entryNumber, next));
    }
  }

  private Optional<String> firstPeer(Predicate<String> condition) {
    return peers.stream().filter(condition).sorted().findFirst();
  }

  private boolean reportsLack(String peer, Duration now) {
    return supportByPeer.containsKey(peer) && !isSilent(peer, now) && !supportsNext(peer);
  }

  private boolean isSilent(String peer, Duration now) {
    return supportByPeer.get(peer).isSilent(now, settings.maxSilence());
  }

  private boolean supportsNext(String peer) {
    PeerSupport support = supportByPeer.get(peer);
    return support != null && support.supports(version.next());
  }

  private boolean supportsNextFor(String peer, Duration span, Duration now) {
    return supportsNext(peer)
        && !isSilent(peer, now)
        && now.minus(supportByPeer.get(peer).since()).compareTo(span) >= 0;
  }

  /**
   * Whether some peer has not yet reported support for the whole span. Also true if there are no
   * peers. Notifies operators of the first such peer if it does not support the next fleet version.
   */
  private boolean awaitsPeer(List<RolloutAction> actions, Duration span, Duration now) {
    Optional<String> awaitedPeer = firstPeer(peer -> !supportsNextFor(peer, span, now));
    awaitedPeer
        .filter(peer -> !supportsNext(peer))
        .ifPresent(
            peer ->
                notify(
                    actions,
                    "fleet version " + version.next() + " waits for the support of peer " + peer));
    return awaitedPeer.isPresent() || peers.isEmpty();
  }

  private void notify(List<RolloutAction> actions, String text) {
    if (!text.equals(lastNotice)) {
      lastNotice = text;
      actions.add(new RolloutAction.Notify(text));
    }
  }

  /** Returns a copy of the current state, for tests that explore all sequences of events. */
  VersionRollout copy() {
    VersionRollout copy = new VersionRollout(settings);
    copy.supportByPeer.putAll(supportByPeer);
    copy.entryNumber = entryNumber;
    copy.version = version;
    copy.peers = peers;
    copy.phaseSince = phaseSince;
    copy.proposedEntry = proposedEntry;
    copy.leader = leader;
    copy.target = target;
    copy.lastNotice = lastNotice;
    return copy;
  }

  /**
   * Returns a key that is equal for two state machines with the same future behaviour. Ages beyond
   * the longest duration of the settings are treated as equal.
   */
  List<Object> key(Duration now) {
    Map<String, List<Object>> reports = new HashMap<>();
    supportByPeer.forEach(
        (peer, support) ->
            reports.put(
                peer,
                List.of(
                    support.lowest(),
                    support.highest(),
                    age(support.since(), now),
                    age(support.lastReport(), now))));
    return List.of(
        reports,
        entryNumber,
        String.valueOf(version),
        peers,
        age(phaseSince, now),
        proposedEntry == entryNumber,
        leader,
        String.valueOf(target));
  }

  private Duration age(Duration at, Duration now) {
    Duration longest = settings.longestDuration().plusNanos(1);
    Duration age = now.minus(at);
    return age.compareTo(longest) > 0 ? longest : age;
  }
}
