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
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.Entry;
import tamarindroute.agreement.Leased;
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
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
public final class Words {

  /**
   * Longest message: a whole view at its bounds is below 3 MiB, four of the longest commands are 2
   * MiB.
   */
  public static final int MESSAGE_MOST = 4 * 1024 * 1024;

  /** Longest command: a cut of all 5,000 members by ordinary names. */
  public static final int COMMAND_MOST = 512 * 1024;

  /** Most commands an answer replays in place of the whole view. */
  public static final int SINCE_MOST = 64;

  /** Longest reason. */
  private static final int REASON_MOST = 400;

  /** Not ours, or past its bounds. */
  public static final class Unbelievable extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Unbelievable(String what) {
      super(what, null, false, false);
    }
  }

  private Words() {}

  /** What a member sends to {@link Leased#whom} once {@link Leased#asked} has counted it. */
  public static byte[] ask(Leased asked) {
    long group = asked.view().map(View::group).orElse(0L);
    long held = asked.view().map(View::number).orElse(0L);
    return WEnvelope.newBuilder()
        .setAsk(WAsk.newBuilder().setNumber(asked.number()).setHeldGroup(group).setHeld(held))
        .build()
        .toByteArray();
  }

  public static byte[] proposal(long number, Command command) {
    return WEnvelope.newBuilder()
        .setProposal(WProposal.newBuilder().setNumber(number).setCommand(to(command)))
        .build()
        .toByteArray();
  }

  /**
   * What a voter says of its group's founding: who it is, which founders it is bound to, whether
   * the group runs.
   */
  public static byte[] offer(Member self, List<Member> bound, boolean founded) {
    WOffer.Builder words = WOffer.newBuilder().setSelf(to(self)).setFounded(founded);
    bound.forEach(one -> words.addBound(to(one)));
    return WEnvelope.newBuilder().setOffer(words).build().toByteArray();
  }

  public static byte[] answer(Answer answer) {
    WAnswer.Builder words =
        WAnswer.newBuilder()
            .setNumber(answer.number())
            .setLed(answer.led())
            .setLeaseMillis(answer.lease().toMillis())
            .setGroup(answer.group());
    answer.leader().ifPresent(one -> words.setLeader(to(one)));
    answer.whole().ifPresent(one -> words.setWhole(to(one)));
    answer.since().forEach(one -> words.addSince(to(one)));
    return WEnvelope.newBuilder().setAnswer(words).build().toByteArray();
  }

  public static byte[] outcome(long number, Agreement.Outcome outcome) {
    String reason = outcome.reason();
    WOutcome.Builder words =
        WOutcome.newBuilder()
            .setNumber(number)
            .setKind(outcome.fate().ordinal())
            .setView(outcome.view())
            .setReason(reason.substring(0, Math.min(reason.length(), REASON_MOST)));
    outcome.leader().ifPresent(one -> words.setLeader(to(one)));
    return WEnvelope.newBuilder().setOutcome(words).build().toByteArray();
  }

  static Optional<Heard> heard(byte[] message) {
    if (message.length > MESSAGE_MOST) {
      return Optional.empty();
    }
    try {
      return Optional.of(heard(WEnvelope.parseFrom(message)));
    } catch (InvalidProtocolBufferException | Unbelievable notOurs) {
      return Optional.empty();
    }
  }

  private static Heard heard(WEnvelope words) {
    return switch (words.getWhatCase()) {
      case RAFT -> new Heard.OfLibrary(words.getGroup(), from(words.getTo()), words.getRaft());
      case ASK ->
          new Heard.Ask(
              words.getAsk().getNumber(), words.getAsk().getHeldGroup(), words.getAsk().getHeld());
      case ANSWER -> new Heard.Answered(from(words.getAnswer()));
      case PROPOSAL ->
          new Heard.Proposal(
              words.getProposal().getNumber(), from(words.getProposal().getCommand()));
      case OUTCOME -> new Heard.Proposed(words.getOutcome().getNumber(), from(words.getOutcome()));
      case OFFER ->
          new Heard.Offered(
              from(words.getOffer().getSelf()),
              from(words.getOffer().getBoundList(), Ledger.VOTERS_MOST),
              words.getOffer().getFounded());
      case WHAT_NOT_SET -> throw new Unbelievable("nothing said");
    };
  }

  private static Answer from(WAnswer words) {
    most(words.getSinceCount(), SINCE_MOST);
    List<Command> since = new ArrayList<>();
    words.getSinceList().forEach(one -> since.add(from(one)));
    Optional<View> whole =
        words.hasWhole() ? Optional.of(from(words.getWhole())) : Optional.empty();
    Optional<Member> leader =
        words.hasLeader() ? Optional.of(from(words.getLeader())) : Optional.empty();
    if (words.getLeaseMillis() < 0 || words.getLeaseMillis() > Leased.LEASE_MOST.toMillis()) {
      throw new Unbelievable("lease");
    }
    return new Answer(
        words.getNumber(),
        words.getLed(),
        leader,
        Duration.ofMillis(words.getLeaseMillis()),
        words.getGroup(),
        whole,
        since);
  }

  private static Agreement.Outcome from(WOutcome words) {
    Agreement.Fate[] fates = Agreement.Fate.values();
    if (words.getKind() < 0
        || words.getKind() >= fates.length
        || words.getReason().length() > REASON_MOST) {
      throw new Unbelievable("outcome");
    }
    Optional<Member> leader =
        words.hasLeader() ? Optional.of(from(words.getLeader())) : Optional.empty();
    return new Agreement.Outcome(
        fates[words.getKind()], words.getView(), words.getReason(), leader);
  }

  public static WMember to(Member member) {
    return WMember.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setBirth(member.birth())
        .build();
  }

  public static Member from(WMember words) {
    boolean host = !words.getHost().isEmpty() && words.getHost().length() <= Ledger.NAME_MOST;
    if (!host || words.getPort() < 0 || words.getPort() > 0xffff) {
      throw new Unbelievable("member");
    }
    return new Member(new Address(words.getHost(), words.getPort()), words.getBirth());
  }

  public static List<Member> from(List<WMember> words, int most) {
    most(words.size(), most);
    List<Member> members = new ArrayList<>(words.size());
    words.forEach(one -> members.add(from(one)));
    return members;
  }

  public static WCommand to(Command command) {
    WCommand.Builder words = WCommand.newBuilder().setFrom(command.from());
    if (command instanceof Command.Cut cut) {
      words.setKind(WCommand.Kind.CUT);
      cut.out().forEach(one -> words.addOut(to(one)));
      cut.in().forEach(one -> words.addIn(to(one)));
    } else if (command instanceof Command.Put put) {
      words
          .setKind(WCommand.Kind.PUT)
          .setKey(put.key())
          .setType(put.type())
          .setValue(ByteString.copyFrom(put.value()));
    } else if (command instanceof Command.Remove remove) {
      words.setKind(WCommand.Kind.REMOVE).setKey(remove.key());
    } else if (command instanceof Command.Voters voters) {
      words.setKind(WCommand.Kind.VOTERS);
      voters.voters().forEach(one -> words.addIn(to(one)));
    }
    return words.build();
  }

  public static Command from(WCommand words) {
    if (words.getSerializedSize() > COMMAND_MOST) {
      throw new Unbelievable("command");
    }
    Command command =
        switch (words.getKind()) {
          case CUT ->
              new Command.Cut(
                  words.getFrom(),
                  from(words.getOutList(), Ledger.MEMBERS_MOST),
                  from(words.getInList(), Ledger.MEMBERS_MOST));
          case PUT ->
              new Command.Put(
                  words.getKey(), words.getFrom(), words.getType(), words.getValue().toByteArray());
          case REMOVE -> new Command.Remove(words.getKey(), words.getFrom());
          case VOTERS ->
              new Command.Voters(words.getFrom(), from(words.getInList(), Ledger.VOTERS_MOST));
          case NOTHING -> new Command.Nothing();
          case UNRECOGNIZED -> throw new Unbelievable("command");
        };
    Ledger.bounded(command)
        .ifPresent(
            wrong -> {
              throw new Unbelievable(wrong);
            });
    return command;
  }

  public static WView to(View view) {
    WView.Builder words =
        WView.newBuilder()
            .setGroup(view.group())
            .setNumber(view.number())
            .setRemoved(view.removed());
    view.members().forEach(one -> words.addMembers(to(one)));
    view.voters().forEach(one -> words.addVoters(to(one)));
    view.entries()
        .forEach(
            (key, entry) ->
                words.addEntries(
                    WEntry.newBuilder()
                        .setKey(key)
                        .setType(entry.type())
                        .setValue(ByteString.copyFrom(entry.value()))
                        .setChanged(entry.changed())));
    return words.build();
  }

  public static View from(WView words) {
    most(words.getEntriesCount(), Ledger.ENTRIES_MOST);
    SortedMap<String, Entry> entries = new TreeMap<>();
    long bytes = 0;
    for (WEntry one : words.getEntriesList()) {
      most(one.getKey().length(), Ledger.NAME_MOST);
      most(one.getType().length(), Ledger.NAME_MOST);
      most(one.getValue().size(), Ledger.VALUE_MOST);
      bytes += one.getValue().size();
      entries.put(
          one.getKey(), new Entry(one.getType(), one.getValue().toByteArray(), one.getChanged()));
    }
    if (bytes > Ledger.VALUES_MOST || words.getNumber() < 0) {
      throw new Unbelievable("view");
    }
    return new View(
        words.getGroup(),
        words.getNumber(),
        words.getRemoved(),
        from(words.getMembersList(), Ledger.MEMBERS_MOST),
        from(words.getVotersList(), Ledger.VOTERS_MOST),
        entries);
  }

  private static void most(int count, int most) {
    if (count > most) {
      throw new Unbelievable(count + " where " + most + " are the most");
    }
  }
}
