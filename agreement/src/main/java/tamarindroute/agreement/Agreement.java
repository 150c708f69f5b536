package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.membership.Member;

/**
 * A voter's side of the agreement. All of it is called on the owner's thread, and calls back there.
 */
public interface Agreement {

  /** What became of a proposal. */
  enum ProposalStatus {
    /** It is agreed; the view's number tells which one has it. */
    COMMITTED,
    /** It was read in its place in the order, and refused by the ledger; nothing has changed. */
    REJECTED,
    /** This voter does not lead; nothing has changed. */
    NOT_LEADER,
    /**
     * It may be agreed yet or never; what is in the view tells. Proposed again, it changes nothing
     * twice.
     */
    UNKNOWN,
    /** The leader bears no more at once; nothing has changed. */
    BUSY
  }

  record ProposalResult(
      ProposalStatus status, long viewNumber, String reason, Optional<Member> leader) {}

  /** What this voter knows of its group. */
  record GroupStatus(
      boolean isLeader,
      Optional<Member> leader,
      int reachableVoters,
      List<Member> voters,
      boolean reconfiguring,
      Optional<Duration> noQuorumSince) {}

  /** This voter as its store knows it; an empty store made a new one. */
  Member self();

  /** Proposes; calls back once. */
  void propose(Command command, Consumer<ProposalResult> onResult);

  /** Reads the view as agreed after this call, under most voters' word; calls back once. */
  void read(Consumer<Optional<MembershipView>> onView);

  /** The view as this voter has it; it may be old. */
  MembershipView localView();

  GroupStatus status();

  /**
   * The number of the lead that this voter knows of, its own or another's; a later one is greater.
   */
  long term();

  /**
   * Takes in a voter, or puts one out; one change at a time. A lost one is put out once its
   * successor is in.
   */
  void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult);

  /** Ends without a word; the store stays. */
  void close();
}
