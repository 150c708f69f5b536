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
 * Raises the fleet's version, one agreed step at a time, where the agreed view's leader is. Each
 * step replaces only the entry that it was derived from; so a leader that ends between two steps,
 * or two that act at once, leave nothing unfinished. Each leader counts the times of reports by its
 * own clock.
 */
public final class VersionRollout {
  private static final long NO_ENTRY = -1;

  private final RolloutSettings settings;
  private final Map<String, PeerSupport> supportByPeer = new HashMap<>();
  private long entryNumber = NO_ENTRY;

  /** The agreed entry; null while out of contact. */
  private FleetVersion version;

  private Set<String> peers = Set.of();
  private Duration phaseSince = Duration.ZERO;
  private long proposedEntry = NO_ENTRY;
  private boolean leader;

  /** The wanted fleet version; null for the one that is settled. */
  private Integer target;

  private String lastNotice = "";

  /** A rollout of a member that knows nothing yet. */
  public VersionRollout(RolloutSettings settings) {
    this.settings = settings;
  }

  /**
   * Takes in an event and decides the next step.
   *
   * @param event what has happened
   * @param now monotonic time
   * @return what the caller carries out
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

  /** A proposal was rejected; it may be made again. */
  public void onProposalRejected(long rejectedEntry) {
    if (proposedEntry == rejectedEntry) {
      proposedEntry = NO_ENTRY;
    }
  }

  /** A new leader counts from now: how long reports went to another one is unknown. */
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
    int wanted = target == null ? version.settled() : target;
    if (wanted < version.settled()) {
      notify(
          actions,
          "fleet version "
              + wanted
              + " is requested, but "
              + version.settled()
              + " is settled and can't be taken back");
    }
    boolean raise = wanted > version.settled();
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
   * The proposal itself stands for as long as the reports: otherwise two leaders with different
   * reports could propose and take back without end.
   */
  private FleetVersion afterProposal(boolean raise, List<RolloutAction> actions, Duration now) {
    if (!raise) {
      return version.takenBack();
    }
    boolean waits = awaitsPeer(actions, settings.beforeTrial(), now);
    return waits || phaseIsShorterThan(settings.beforeTrial(), now) ? version : version.onTrial();
  }

  /**
   * A peer that reports that it lacks support ends the trial, whatever is wanted. One without a
   * recent report is awaited, since its last report may be outdated.
   */
  private FleetVersion afterTrial(boolean raise, List<RolloutAction> actions, Duration now) {
    Optional<String> unable = firstPeer(peer -> reportsLack(peer, now));
    if (unable.isPresent()) {
      notify(
          actions,
          "the trial of fleet version "
              + version.next()
              + " is taken back: "
              + unable.get()
              + " does not support it");
    }
    if (!raise || unable.isPresent()) {
      return version.takenBack();
    }
    boolean waits = awaitsPeer(actions, settings.trial(), now);
    return waits || phaseIsShorterThan(settings.trial(), now) ? version : version.settledNext();
  }

  private boolean phaseIsShorterThan(Duration span, Duration now) {
    return now.minus(phaseSince).compareTo(span) < 0;
  }

  /** Proposes once for each entry; whether it was accepted, the next agreed entry shows. */
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

  /** Whether some peer has not yet reported support for a span; true if there are no peers. */
  private boolean awaitsPeer(List<RolloutAction> actions, Duration span, Duration now) {
    Optional<String> awaited = firstPeer(peer -> !supportsNextFor(peer, span, now));
    awaited
        .filter(peer -> !supportsNext(peer))
        .ifPresent(
            peer -> notify(actions, "fleet version " + version.next() + " waits for " + peer));
    return awaited.isPresent() || peers.isEmpty();
  }

  private void notify(List<RolloutAction> actions, String text) {
    if (!text.equals(lastNotice)) {
      lastNotice = text;
      actions.add(new RolloutAction.Notify(text));
    }
  }

  /** A copy of the present state, for tests that explore. */
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

  /** Equal for two rollouts that will act the same; times beyond the longest span count alike. */
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
    Duration longest = settings.longest().plusNanos(1);
    Duration age = now.minus(at);
    return age.compareTo(longest) > 0 ? longest : age;
  }
}
