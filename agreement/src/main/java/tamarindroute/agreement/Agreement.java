package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.membership.Member;

/**
 * A voter's interface to its consensus group. Not thread-safe: all methods are called on the event
 * loop's thread, and all callbacks run there.
 */
public interface Agreement {

  /** What became of a proposal. */
  enum ProposalStatus {
    /** Committed; the result's view number is the first view that contains it. */
    COMMITTED,
    /** Reached its place in the log, but does not apply to the view there; nothing changed. */
    REJECTED,
    /** This voter is not the leader; nothing changed. */
    NOT_LEADER,
    /**
     * May be committed later or never. Proposing it again is safe: a command is applied at most
     * once.
     */
    UNKNOWN,
    /** The leader has too many pending proposals; nothing changed. */
    BUSY
  }

  /**
   * Result of a proposal.
   *
   * @param viewNumber number of the view after the command, or of the local view if not committed
   * @param reason why it was not committed; empty if it was
   * @param leader the leader, if known
   */
  record ProposalResult(
      ProposalStatus status, long viewNumber, String reason, Optional<Member> leader) {}

  /**
   * What a voter knows of its group.
   *
   * @param isLeader whether this voter leads
   * @param leader the current leader, if one is known
   * @param reachableVoters voters that the leader heard from recently, itself included; 0 for
   *     followers
   * @param voters voting members of the committed configuration, ordered by address
   * @param reconfiguring whether a change of the voters is in progress
   * @param noQuorumSince since when the voter has been without a leader that reaches a quorum, on
   *     the event loop's clock; empty while there is one
   */
  record GroupStatus(
      boolean isLeader,
      Optional<Member> leader,
      int reachableVoters,
      List<Member> voters,
      boolean reconfiguring,
      Optional<Duration> noQuorumSince) {}

  /** Returns this voter's identity, as recorded in its store. */
  Member self();

  /**
   * Proposes a command.
   *
   * @param onResult called exactly once
   */
  void propose(Command command, Consumer<ProposalResult> onResult);

  /**
   * Reads the view linearizably: the result is at least as new as the view at the time of this
   * call.
   *
   * @param onView called exactly once, with an empty value if no quorum confirmed the read
   */
  void read(Consumer<Optional<MembershipView>> onView);

  /** Returns the view as last applied by this voter, which may be outdated. */
  MembershipView localView();

  /** Returns what this voter knows of its group. */
  GroupStatus status();

  /** Returns the highest election term known to this voter. */
  long term();

  /**
   * Adds or removes a voter. One change may be in progress at a time.
   *
   * @param onResult called exactly once
   */
  void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult);

  /** Stops this voter without notifying the others. The store remains. */
  void close();
}
