package tamarindroute.agreement.wire;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ReplicatedEntry;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.proto.CommandProto;
import tamarindroute.agreement.proto.EntryProto;
import tamarindroute.agreement.proto.MemberProto;
import tamarindroute.agreement.proto.ViewProto;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Converts members, commands and views to Protocol Buffers messages and back. The {@code fromProto}
 * methods throw {@link InvalidMessageException} if a value exceeds a limit of {@link ViewLimits}.
 */
public final class ViewCodec {

  /**
   * Largest encoded command in bytes. Holds a membership change of all 5,000 members with host
   * names of ordinary length.
   */
  public static final int MAX_COMMAND_BYTES = 512 * 1024;

  private ViewCodec() {}

  /** Converts a member to a Protocol Buffers message. */
  public static MemberProto toProto(Member member) {
    return MemberProto.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setIncarnation(member.incarnation())
        .build();
  }

  /** Converts a Protocol Buffers message to a member. */
  public static Member fromProto(MemberProto proto) {
    Address address = new Address(proto.getHost(), proto.getPort());
    requireNone(ViewLimits.findViolation(address));
    return new Member(address, proto.getIncarnation());
  }

  /**
   * Converts a list of Protocol Buffers messages to members.
   *
   * @param maxMembers largest allowed length of the list
   */
  public static List<Member> fromProto(List<MemberProto> protos, int maxMembers) {
    requireAtMost(protos.size(), maxMembers, "members");
    List<Member> members = new ArrayList<>(protos.size());
    for (MemberProto proto : protos) {
      members.add(fromProto(proto));
    }
    return members;
  }

  /** Converts a command to a Protocol Buffers message. */
  public static CommandProto toProto(Command command) {
    CommandProto.Builder proto = CommandProto.newBuilder().setBaseNumber(command.baseNumber());
    if (command instanceof Command.MembershipChange change) {
      proto.setKind(CommandProto.Kind.MEMBERSHIP_CHANGE);
      change.removed().forEach(member -> proto.addRemoved(toProto(member)));
      change.added().forEach(member -> proto.addAdded(toProto(member)));
    } else if (command instanceof Command.Put put) {
      proto
          .setKind(CommandProto.Kind.PUT)
          .setKey(put.key())
          .setType(put.type())
          .setValue(ByteString.copyFrom(put.value()));
    } else if (command instanceof Command.Remove remove) {
      proto.setKind(CommandProto.Kind.REMOVE).setKey(remove.key());
    } else if (command instanceof Command.SetVoters setVoters) {
      proto.setKind(CommandProto.Kind.SET_VOTERS);
      setVoters.voters().forEach(voter -> proto.addAdded(toProto(voter)));
    }
    return proto.build();
  }

  /** Converts a Protocol Buffers message to a command. */
  public static Command fromProto(CommandProto proto) {
    requireAtMost(proto.getSerializedSize(), MAX_COMMAND_BYTES, "bytes of a command");
    long baseNumber = proto.getBaseNumber();
    Command command =
        switch (proto.getKind()) {
          case NO_OP -> new Command.NoOp();
          case MEMBERSHIP_CHANGE ->
              new Command.MembershipChange(
                  baseNumber,
                  fromProto(proto.getRemovedList(), ViewLimits.MAX_MEMBERS),
                  fromProto(proto.getAddedList(), ViewLimits.MAX_MEMBERS));
          case PUT ->
              new Command.Put(
                  proto.getKey(), baseNumber, proto.getType(), proto.getValue().toByteArray());
          case REMOVE -> new Command.Remove(proto.getKey(), baseNumber);
          case SET_VOTERS ->
              new Command.SetVoters(
                  baseNumber, fromProto(proto.getAddedList(), ViewLimits.MAX_VOTERS));
          case UNRECOGNIZED ->
              throw new InvalidMessageException(
                  "command kind is "
                      + proto.getKindValue()
                      + ", expected "
                      + CommandProto.Kind.NO_OP_VALUE
                      + " to "
                      + CommandProto.Kind.SET_VOTERS_VALUE);
        };
    requireNone(ViewLimits.findViolation(command));
    return command;
  }

  /** Converts a view to a Protocol Buffers message. */
  public static ViewProto toProto(MembershipView view) {
    ViewProto.Builder proto =
        ViewProto.newBuilder()
            .setGroupId(view.groupId())
            .setNumber(view.number())
            .setLastRemovalNumber(view.lastRemovalNumber());
    view.members().forEach(member -> proto.addMembers(toProto(member)));
    view.voters().forEach(voter -> proto.addVoters(toProto(voter)));
    view.entries().forEach((key, entry) -> proto.addEntries(toProto(key, entry)));
    return proto.build();
  }

  private static EntryProto toProto(String key, ReplicatedEntry entry) {
    return EntryProto.newBuilder()
        .setKey(key)
        .setType(entry.type())
        .setValue(ByteString.copyFrom(entry.value()))
        .setLastChangedNumber(entry.lastChangedNumber())
        .build();
  }

  /** Converts a Protocol Buffers message to a view. */
  public static MembershipView fromProto(ViewProto proto) {
    if (proto.getNumber() < 0) {
      throw new InvalidMessageException(
          "view has number " + proto.getNumber() + ", expected 0 or more");
    }
    return new MembershipView(
        proto.getGroupId(),
        proto.getNumber(),
        proto.getLastRemovalNumber(),
        fromProto(proto.getMembersList(), ViewLimits.MAX_MEMBERS),
        fromProto(proto.getVotersList(), ViewLimits.MAX_VOTERS),
        entriesFromProto(proto.getEntriesList()));
  }

  private static SortedMap<String, ReplicatedEntry> entriesFromProto(List<EntryProto> protos) {
    requireAtMost(protos.size(), ViewLimits.MAX_ENTRIES, "entries");
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>();
    int totalBytes = 0;
    for (EntryProto proto : protos) {
      requireAtMost(proto.getKey().length(), ViewLimits.MAX_NAME_LENGTH, "characters of a key");
      requireAtMost(proto.getType().length(), ViewLimits.MAX_NAME_LENGTH, "characters of a type");
      requireAtMost(proto.getValue().size(), ViewLimits.MAX_VALUE_BYTES, "bytes of a value");
      totalBytes += proto.getValue().size();
      entries.put(
          proto.getKey(),
          new ReplicatedEntry(
              proto.getType(), proto.getValue().toByteArray(), proto.getLastChangedNumber()));
    }
    requireAtMost(totalBytes, ViewLimits.MAX_TOTAL_VALUE_BYTES, "bytes of all values");
    return entries;
  }

  private static void requireNone(Optional<String> violation) {
    if (violation.isPresent()) {
      throw new InvalidMessageException(violation.get());
    }
  }

  /**
   * Checks a limit.
   *
   * @param countedItems plural noun for what was counted, for the exception's text
   */
  static void requireAtMost(int count, int max, String countedItems) {
    if (count > max) {
      throw new InvalidMessageException(
          count + " " + countedItems + ", at most " + max + " allowed");
    }
  }
}
