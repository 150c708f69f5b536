package tamarindroute.agreement.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ReplicatedEntry;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.proto.WAnswer;
import tamarindroute.agreement.proto.WAsk;
import tamarindroute.agreement.proto.WCommand;
import tamarindroute.agreement.proto.WEntry;
import tamarindroute.agreement.proto.WEnvelope;
import tamarindroute.agreement.proto.WMember;
import tamarindroute.agreement.proto.WOffer;
import tamarindroute.agreement.proto.WOutcome;
import tamarindroute.agreement.proto.WProposal;
import tamarindroute.agreement.proto.WView;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Our values as the library's messages, and back. What is past its bounds throws {@link
 * Unbelievable}.
 */
public final class AgreementMessageCodec {

  /**
   * Longest message: a whole view at its bounds is below 3 MiB, four of the longest commands are 2
   * MiB.
   */
  public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

  /** Longest command: a cut of all 5,000 members by ordinary names. */
  public static final int MAX_COMMAND_BYTES = 512 * 1024;

  /** Most commands an answer replays in place of the whole view. */
  public static final int MAX_REPLAYED_COMMANDS = 64;

  /** Longest reason. */
  private static final int MAX_REASON_LENGTH = 400;

  /** Not ours, or past its bounds. */
  public static final class InvalidMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidMessageException(String what) {
      super(what, null, false, false);
    }
  }

  private AgreementMessageCodec() {}

  /**
   * What a member sends to {@link ViewLease#nextVoter} once {@link ViewLease#requestSent} has
   * counted it.
   */
  public static byte[] encodeViewRequest(ViewLease asked) {
    long group = asked.view().map(MembershipView::groupId).orElse(0L);
    long held = asked.view().map(MembershipView::number).orElse(0L);
    return WEnvelope.newBuilder()
        .setAsk(
            WAsk.newBuilder().setNumber(asked.requestNumber()).setHeldGroup(group).setHeld(held))
        .build()
        .toByteArray();
  }

  public static byte[] encodeProposal(long number, Command command) {
    return WEnvelope.newBuilder()
        .setProposal(WProposal.newBuilder().setNumber(number).setCommand(toProto(command)))
        .build()
        .toByteArray();
  }

  /**
   * What a voter says of its group's founding: who it is, which founders it is bound to, whether
   * the group runs.
   */
  public static byte[] encodeOffer(Member self, List<Member> bound, boolean founded) {
    WOffer.Builder proto = WOffer.newBuilder().setSelf(toProto(self)).setFounded(founded);
    bound.forEach(one -> proto.addBound(toProto(one)));
    return WEnvelope.newBuilder().setOffer(proto).build().toByteArray();
  }

  public static byte[] encodeViewReply(ViewResponse answer) {
    WAnswer.Builder proto =
        WAnswer.newBuilder()
            .setNumber(answer.requestNumber())
            .setLed(answer.fromLeader())
            .setLeaseMillis(answer.lease().toMillis())
            .setGroup(answer.groupId());
    answer.leader().ifPresent(one -> proto.setLeader(toProto(one)));
    answer.fullView().ifPresent(one -> proto.setWhole(toProto(one)));
    answer.commands().forEach(one -> proto.addSince(toProto(one)));
    return WEnvelope.newBuilder().setAnswer(proto).build().toByteArray();
  }

  public static byte[] encodeProposalReply(long number, Agreement.ProposalResult outcome) {
    String reason = outcome.reason();
    WOutcome.Builder proto =
        WOutcome.newBuilder()
            .setNumber(number)
            .setKind(outcome.status().ordinal())
            .setView(outcome.viewNumber())
            .setReason(reason.substring(0, Math.min(reason.length(), MAX_REASON_LENGTH)));
    outcome.leader().ifPresent(one -> proto.setLeader(toProto(one)));
    return WEnvelope.newBuilder().setOutcome(proto).build().toByteArray();
  }

  static Optional<DecodedMessage> decode(byte[] message) {
    if (message.length > MAX_MESSAGE_BYTES) {
      return Optional.empty();
    }
    try {
      return Optional.of(decode(WEnvelope.parseFrom(message)));
    } catch (InvalidProtocolBufferException | InvalidMessageException notOurs) {
      return Optional.empty();
    }
  }

  private static DecodedMessage decode(WEnvelope proto) {
    return switch (proto.getWhatCase()) {
      case RAFT ->
          new DecodedMessage.RaftEnvelope(
              proto.getGroup(), fromProto(proto.getTo()), proto.getRaft());
      case ASK ->
          new DecodedMessage.ViewRequest(
              proto.getAsk().getNumber(), proto.getAsk().getHeldGroup(), proto.getAsk().getHeld());
      case ANSWER -> new DecodedMessage.ViewReply(fromProto(proto.getAnswer()));
      case PROPOSAL ->
          new DecodedMessage.Proposal(
              proto.getProposal().getNumber(), fromProto(proto.getProposal().getCommand()));
      case OUTCOME ->
          new DecodedMessage.ProposalReply(
              proto.getOutcome().getNumber(), fromProto(proto.getOutcome()));
      case OFFER ->
          new DecodedMessage.BootstrapOffer(
              fromProto(proto.getOffer().getSelf()),
              fromProto(proto.getOffer().getBoundList(), ViewTransitions.MAX_VOTERS),
              proto.getOffer().getFounded());
      case WHAT_NOT_SET -> throw new InvalidMessageException("nothing said");
    };
  }

  private static ViewResponse fromProto(WAnswer proto) {
    requireAtMost(proto.getSinceCount(), MAX_REPLAYED_COMMANDS);
    List<Command> since = new ArrayList<>();
    proto.getSinceList().forEach(one -> since.add(fromProto(one)));
    Optional<MembershipView> whole =
        proto.hasWhole() ? Optional.of(fromProto(proto.getWhole())) : Optional.empty();
    Optional<Member> leader =
        proto.hasLeader() ? Optional.of(fromProto(proto.getLeader())) : Optional.empty();
    if (proto.getLeaseMillis() < 0 || proto.getLeaseMillis() > ViewLease.MAX_LEASE.toMillis()) {
      throw new InvalidMessageException("lease");
    }
    return new ViewResponse(
        proto.getNumber(),
        proto.getLed(),
        leader,
        Duration.ofMillis(proto.getLeaseMillis()),
        proto.getGroup(),
        whole,
        since);
  }

  private static Agreement.ProposalResult fromProto(WOutcome proto) {
    Agreement.ProposalStatus[] fates = Agreement.ProposalStatus.values();
    if (proto.getKind() < 0
        || proto.getKind() >= fates.length
        || proto.getReason().length() > MAX_REASON_LENGTH) {
      throw new InvalidMessageException("outcome");
    }
    Optional<Member> leader =
        proto.hasLeader() ? Optional.of(fromProto(proto.getLeader())) : Optional.empty();
    return new Agreement.ProposalResult(
        fates[proto.getKind()], proto.getView(), proto.getReason(), leader);
  }

  public static WMember toProto(Member member) {
    return WMember.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setBirth(member.incarnation())
        .build();
  }

  public static Member fromProto(WMember proto) {
    boolean host =
        !proto.getHost().isEmpty() && proto.getHost().length() <= ViewTransitions.MAX_NAME_LENGTH;
    if (!host || proto.getPort() < 0 || proto.getPort() > 0xffff) {
      throw new InvalidMessageException("member");
    }
    return new Member(new Address(proto.getHost(), proto.getPort()), proto.getBirth());
  }

  public static List<Member> fromProto(List<WMember> proto, int most) {
    requireAtMost(proto.size(), most);
    List<Member> members = new ArrayList<>(proto.size());
    proto.forEach(one -> members.add(fromProto(one)));
    return members;
  }

  public static WCommand toProto(Command command) {
    WCommand.Builder proto = WCommand.newBuilder().setFrom(command.baseNumber());
    if (command instanceof Command.MembershipChange cut) {
      proto.setKind(WCommand.Kind.CUT);
      cut.removed().forEach(one -> proto.addOut(toProto(one)));
      cut.added().forEach(one -> proto.addIn(toProto(one)));
    } else if (command instanceof Command.Put put) {
      proto
          .setKind(WCommand.Kind.PUT)
          .setKey(put.key())
          .setType(put.type())
          .setValue(ByteString.copyFrom(put.value()));
    } else if (command instanceof Command.Remove remove) {
      proto.setKind(WCommand.Kind.REMOVE).setKey(remove.key());
    } else if (command instanceof Command.SetVoters voters) {
      proto.setKind(WCommand.Kind.VOTERS);
      voters.voters().forEach(one -> proto.addIn(toProto(one)));
    }
    return proto.build();
  }

  public static Command fromProto(WCommand proto) {
    if (proto.getSerializedSize() > MAX_COMMAND_BYTES) {
      throw new InvalidMessageException("command");
    }
    Command command =
        switch (proto.getKind()) {
          case CUT ->
              new Command.MembershipChange(
                  proto.getFrom(),
                  fromProto(proto.getOutList(), ViewTransitions.MAX_MEMBERS),
                  fromProto(proto.getInList(), ViewTransitions.MAX_MEMBERS));
          case PUT ->
              new Command.Put(
                  proto.getKey(), proto.getFrom(), proto.getType(), proto.getValue().toByteArray());
          case REMOVE -> new Command.Remove(proto.getKey(), proto.getFrom());
          case VOTERS ->
              new Command.SetVoters(
                  proto.getFrom(), fromProto(proto.getInList(), ViewTransitions.MAX_VOTERS));
          case NOTHING -> new Command.NoOp();
          case UNRECOGNIZED -> throw new InvalidMessageException("command");
        };
    ViewTransitions.findViolation(command)
        .ifPresent(
            wrong -> {
              throw new InvalidMessageException(wrong);
            });
    return command;
  }

  public static WView toProto(MembershipView view) {
    WView.Builder proto =
        WView.newBuilder()
            .setGroup(view.groupId())
            .setNumber(view.number())
            .setRemoved(view.lastRemovalNumber());
    view.members().forEach(one -> proto.addMembers(toProto(one)));
    view.voters().forEach(one -> proto.addVoters(toProto(one)));
    view.entries()
        .forEach(
            (key, entry) ->
                proto.addEntries(
                    WEntry.newBuilder()
                        .setKey(key)
                        .setType(entry.type())
                        .setValue(ByteString.copyFrom(entry.value()))
                        .setChanged(entry.lastChangedNumber())));
    return proto.build();
  }

  public static MembershipView fromProto(WView proto) {
    requireAtMost(proto.getEntriesCount(), ViewTransitions.MAX_ENTRIES);
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>();
    long bytes = 0;
    for (WEntry one : proto.getEntriesList()) {
      requireAtMost(one.getKey().length(), ViewTransitions.MAX_NAME_LENGTH);
      requireAtMost(one.getType().length(), ViewTransitions.MAX_NAME_LENGTH);
      requireAtMost(one.getValue().size(), ViewTransitions.MAX_VALUE_BYTES);
      bytes += one.getValue().size();
      entries.put(
          one.getKey(),
          new ReplicatedEntry(one.getType(), one.getValue().toByteArray(), one.getChanged()));
    }
    if (bytes > ViewTransitions.MAX_TOTAL_VALUE_BYTES || proto.getNumber() < 0) {
      throw new InvalidMessageException("view");
    }
    return new MembershipView(
        proto.getGroup(),
        proto.getNumber(),
        proto.getRemoved(),
        fromProto(proto.getMembersList(), ViewTransitions.MAX_MEMBERS),
        fromProto(proto.getVotersList(), ViewTransitions.MAX_VOTERS),
        entries);
  }

  private static void requireAtMost(int count, int most) {
    if (count > most) {
      throw new InvalidMessageException(count + " where " + most + " are the most");
    }
  }
}
