package tamarindroute.members.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import tamarindroute.members.wire.form.Envelope;
import tamarindroute.members.wire.form.Event;
import tamarindroute.members.wire.form.Kind;
import tamarindroute.members.wire.form.Lease;
import tamarindroute.members.wire.form.LeaseKind;
import tamarindroute.members.wire.form.Life;
import tamarindroute.members.wire.form.News;
import tamarindroute.members.wire.form.Said;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.MembershipUpdate;
import tamarindroute.membership.Message;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Writes letters in the schema's form and reads them; what is past a bound is neither written nor
 * believed.
 */
public final class MemberMessageCodec {

  /** The form levels that this program reads; it writes the lowest, which all can read. */
  public static final int LOWEST_VERSION = 1;

  public static final int HIGHEST_VERSION = 1;

  /** What a datagram takes in (net.Datagrams) less the seal's 49 bytes. */
  public static final int MAX_MESSAGE_BYTES = 4096 - 49;

  /**
   * Of IPv6 in digits: the longest host there is; names are not taken, asking for them would stop
   * the owner.
   */
  private static final int MAX_HOST_LENGTH = 45;

  /** Smaller rumours than 40 bytes there are none, so that more have no room anyway. */
  static final int MAX_UPDATES = 100;

  /** Levels are few; a greater number is no level. */
  private static final int MAX_VERSION = 1_000_000;

  private static final Pattern NUMERIC_HOST =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

  private MemberMessageCodec() {}

  /** Whether members may be told this host. */
  public static boolean isNumericHost(String host) {
    return host.length() <= MAX_HOST_LENGTH && NUMERIC_HOST.matcher(host).matches();
  }

  /**
   * The letter's bytes; the last rumours stay out where all have no room, others of them have their
   * turn.
   */
  public static byte[] encode(MemberMessage message) {
    Envelope.Builder envelope =
        Envelope.newBuilder()
            .setLowest(message.lowestVersion())
            .setHighest(message.highestVersion())
            .setLevel(LOWEST_VERSION)
            .setSender(encodeMember(message.sender()))
            .setToBirth(message.targetIncarnation());
    if (message.payload() instanceof MemberMessage.MembershipPayload payload) {
      encode(envelope, payload.message());
    } else if (message.payload() instanceof MemberMessage.FactsPayload facts) {
      envelope.setFacts(ByteString.copyFrom(facts.bytes()));
    } else if (message.payload() instanceof MemberMessage.AgreementPayload agreement) {
      envelope.setAgreement(ByteString.copyFrom(agreement.bytes()));
    } else if (message.payload() instanceof MemberMessage.FeedEventsPayload news) {
      envelope.setNews(
          News.newBuilder()
              .setLast(news.lastNumber())
              .addAllEvents(
                  news.events().stream()
                      .map(
                          one ->
                              Event.newBuilder()
                                  .setNumber(one.number())
                                  .setBefore((int) one.previousChecksum())
                                  .setText(one.json())
                                  .build())
                      .toList()));
    } else if (message.payload() instanceof MemberMessage.LeasePayload lease) {
      envelope.setLease(
          Lease.newBuilder()
              .setGroup(lease.quotaNumber())
              .setBirth(lease.holderIncarnation())
              .setKind(LeaseKind.valueOf("LEASE_" + lease.kind().name()))
              .setNumber(lease.requestNumber())
              .setPart(lease.shareMillionths())
              .setLengthMs((int) lease.duration().toMillis()));
    }
    byte[] bytes = envelope.build().toByteArray();
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new IllegalArgumentException(bytes.length + " bytes have no room in a datagram");
    }
    return bytes;
  }

  private static void encode(Envelope.Builder envelope, Message message) {
    Said.Builder payload =
        Said.newBuilder()
            .setKind(Kind.valueOf(message.kind().name()))
            .setNumber(message.requestId());
    if (!message.subject().equals(message.from())) {
      payload.setAbout(encodeMember(message.subject()));
    }
    // The body's own head: its field and its length.
    int remainingBytes =
        MAX_MESSAGE_BYTES
            - envelope.build().getSerializedSize()
            - payload.build().getSerializedSize()
            - 4;
    for (MembershipUpdate update : message.updates()) {
      tamarindroute.members.wire.form.Rumour one = encodeUpdate(update);
      // Its field and its length; a rumour is never longer than two bytes can say.
      remainingBytes -= one.getSerializedSize() + 3;
      if (remainingBytes < 0 || payload.getRumoursCount() == MAX_UPDATES) {
        break;
      }
      payload.addRumours(one);
    }
    envelope.setMembership(payload);
  }

  private static Life encodeMember(Member member) {
    return Life.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setBirth(member.incarnation())
        .build();
  }

  private static tamarindroute.members.wire.form.Rumour encodeUpdate(MembershipUpdate update) {
    return tamarindroute.members.wire.form.Rumour.newBuilder()
        .setAbout(encodeMember(update.member()))
        .setStanding(tamarindroute.members.wire.form.Standing.valueOf(update.state().name()))
        .setIncarnation(update.refutation())
        .setObserverHost(update.observer().host())
        .setObserverPort(update.observer().port())
        .build();
  }

  /** What the bytes say, whole and within all bounds. */
  public static MemberMessage decode(byte[] bytes) throws MalformedMessageException {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new MalformedMessageException("longer than a datagram");
    }
    Envelope envelope;
    try {
      envelope = Envelope.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedMessageException("not of the schema: " + e.getMessage());
    }
    int lowestVersion = requireVersion("lowest level", envelope.getLowest(), MAX_VERSION);
    int highestVersion = requireVersion("highest level", envelope.getHighest(), MAX_VERSION);
    int version = envelope.getLevel();
    if (version < LOWEST_VERSION || version > HIGHEST_VERSION || lowestVersion > highestVersion) {
      throw new MalformedMessageException(
          "of form level "
              + version
              + ", its sender reads "
              + lowestVersion
              + " to "
              + highestVersion
              + ", here "
              + LOWEST_VERSION
              + " to "
              + HIGHEST_VERSION
              + " are read");
    }
    Member sender = decodeMember(envelope.hasSender(), envelope.getSender());
    long targetIncarnation = requireNonNegative("birth", envelope.getToBirth());
    return new MemberMessage(
        lowestVersion,
        highestVersion,
        sender,
        targetIncarnation,
        switch (envelope.getBodyCase()) {
          case MEMBERSHIP ->
              new MemberMessage.MembershipPayload(
                  decodeMembership(envelope.getMembership(), sender, targetIncarnation));
          case FACTS -> new MemberMessage.FactsPayload(envelope.getFacts().toByteArray());
          case AGREEMENT ->
              new MemberMessage.AgreementPayload(envelope.getAgreement().toByteArray());
          case NEWS -> decodeFeedEvents(envelope.getNews());
          case LEASE -> decodeLease(envelope.getLease());
          case BODY_NOT_SET -> throw new MalformedMessageException("no body that is known here");
        });
  }

  private static MemberMessage.FeedEventsPayload decodeFeedEvents(News news)
      throws MalformedMessageException {
    List<MemberMessage.FeedEvent> events = new ArrayList<>();
    long nextNumber = 0;
    for (Event one : news.getEventsList()) {
      if (one.getNumber() <= 0 || nextNumber > 0 && one.getNumber() != nextNumber) {
        throw new MalformedMessageException("events that are not in their order");
      }
      nextNumber = one.getNumber() + 1;
      events.add(
          new MemberMessage.FeedEvent(
              one.getNumber(), Integer.toUnsignedLong(one.getBefore()), one.getText()));
    }
    if (nextNumber > 0 && nextNumber - 1 > news.getLast()) {
      throw new MalformedMessageException("events past the last");
    }
    return new MemberMessage.FeedEventsPayload(
        requireNonNegative("number", news.getLast()), events);
  }

  private static MemberMessage.LeasePayload decodeLease(Lease lease)
      throws MalformedMessageException {
    if (lease.getKind() == LeaseKind.LEASE_NONE || lease.getKind() == LeaseKind.UNRECOGNIZED) {
      throw new MalformedMessageException(
          "a word on shares of an unknown kind, " + lease.getKindValue());
    }
    return new MemberMessage.LeasePayload(
        (int) requireNonNegative("group", lease.getGroup()),
        MemberMessage.LeaseKind.valueOf(lease.getKind().name().substring("LEASE_".length())),
        requireNonNegative("birth", lease.getBirth()),
        requireNonNegative("number", lease.getNumber()),
        requireNonNegative("part", lease.getPart()),
        Duration.ofMillis(requireNonNegative("length", lease.getLengthMs())));
  }

  private static Message decodeMembership(Said payload, Member sender, long targetIncarnation)
      throws MalformedMessageException {
    if (payload.getKind() == Kind.KIND_NONE || payload.getKind() == Kind.UNRECOGNIZED) {
      throw new MalformedMessageException("an unknown kind, " + payload.getKindValue());
    }
    if (payload.getRumoursCount() > MAX_UPDATES) {
      throw new MalformedMessageException("more than " + MAX_UPDATES + " rumours");
    }
    Member about = payload.hasAbout() ? decodeMember(true, payload.getAbout()) : sender;
    List<MembershipUpdate> updates = new ArrayList<>(payload.getRumoursCount());
    for (tamarindroute.members.wire.form.Rumour one : payload.getRumoursList()) {
      updates.add(decodeUpdate(one));
    }
    return new Message(
        Message.Kind.valueOf(payload.getKind().name()),
        sender,
        targetIncarnation,
        requireNonNegative("number", payload.getNumber()),
        about,
        updates);
  }

  private static MembershipUpdate decodeUpdate(tamarindroute.members.wire.form.Rumour one)
      throws MalformedMessageException {
    if (one.getStanding() == tamarindroute.members.wire.form.Standing.STANDING_NONE
        || one.getStanding() == tamarindroute.members.wire.form.Standing.UNRECOGNIZED) {
      throw new MalformedMessageException("an unknown standing, " + one.getStandingValue());
    }
    return new MembershipUpdate(
        decodeMember(one.hasAbout(), one.getAbout()),
        MemberState.valueOf(one.getStanding().name()),
        requireNonNegative("incarnation", one.getIncarnation()),
        decodeAddress(one.getObserverHost(), one.getObserverPort()));
  }

  private static Member decodeMember(boolean present, Life life) throws MalformedMessageException {
    if (!present) {
      throw new MalformedMessageException("a member is missing");
    }
    return new Member(
        decodeAddress(life.getHost(), life.getPort()),
        requireNonNegative("birth", life.getBirth()));
  }

  private static Address decodeAddress(String host, int port) throws MalformedMessageException {
    if (!isNumericHost(host) || port < 1 || port > 65_535) {
      throw new MalformedMessageException("an address that is none");
    }
    return new Address(host, port);
  }

  private static int requireVersion(String field, int value, int max)
      throws MalformedMessageException {
    if (value < 1 || value > max) {
      throw new MalformedMessageException("a " + field + " that is none");
    }
    return value;
  }

  private static long requireNonNegative(String field, long value)
      throws MalformedMessageException {
    if (value < 0) {
      throw new MalformedMessageException("a " + field + " below 0");
    }
    return value;
  }
}
