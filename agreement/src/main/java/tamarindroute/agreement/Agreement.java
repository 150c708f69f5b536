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

  /** Outcome of a proposal. */
  enum ProposalStatus {
    /** Committed. The result's view number is that of the first view that contains the change. */
    COMMITTED,
    /**
     * Violates a limit, or was committed to the log but does not apply to the view at that log
     * index. The view was not changed.
     */
    REJECTED,
    /** Not proposed, as this voter is not the leader. The view was not changed. */
    NOT_LEADER,
    /**
     * The proposal may be committed later or never. Proposing the command again is safe, as a
     * command is applied at most once.
     */
    UNKNOWN,
    /** The leader has too many uncommitted proposals. The view was not changed. */
    BUSY
  }

  /**
   * Result of a proposal.
   *
   * @param status outcome of the proposal
   * @param viewNumber number of the view after the command, or of the voter's local view if the
   *     command was not committed
   * @param reason why the command was not committed; empty if it was
   * @param leader the leader of the current term; empty if unknown
   */
  record ProposalResult(
      ProposalStatus status, long viewNumber, String reason, Optional<Member> leader) {}

  /**
   * State of the voter group as last observed by one voter.
   *
   * @param isLeader whether the observing voter is the leader
   * @param leader the leader; empty if none is known that reaches a quorum
   * @param reachableVoters number of voters that the leader received a message from within the
   *     heartbeat timeout, itself included; 0 if the observing voter is not the leader
   * @param voters voting members of the committed configuration, ordered by address
   * @param reconfiguring whether a change of the voters is in progress
   * @param noQuorumSince time on the event loop's clock since which the voter has been without a
   *     leader that reaches a quorum; empty while there is such a leader
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
   * Proposes a command to the group.
   *
   * @param onResult called exactly once with the outcome
   */
  void propose(Command command, Consumer<ProposalResult> onResult);

  /**
   * Reads the view linearizably: the result is at least as new as the latest committed view at the
   * time of this call.
   *
   * @param onView called exactly once, with an empty value if no quorum confirmed the read
   */
  void read(Consumer<Optional<MembershipView>> onView);

  /** Returns the view as last applied by this voter, which may be outdated. */
  MembershipView localView();

  /** Returns the group's state as last observed by this voter. */
  GroupStatus status();

  /** Returns the highest Raft term known to this voter; a later leader has a higher term. */
  long term();

  /**
   * Adds or removes a voter. One change may be in progress at a time.
   *
   * @param add true to add the voter, false to remove it
   * @param onResult called exactly once with the outcome
   */
  void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult);

  /** Stops this voter without notifying the other voters. The stored state remains. */
  void close();
}
