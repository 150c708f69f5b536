package tamarindroute.membership;

import java.util.List;

/**
 * Message between members. The carrier bounds and decodes it before it is handed over.
 *
 * @param kind what is asked or answered
 * @param from the sender
 * @param targetIncarnation incarnation of the receiver that the message is meant for, 0 if the
 *     sender does not know it; other incarnations ignore it
 * @param requestId matches an answer to its request; for {@link Kind#EXCHANGE} and {@link
 *     Kind#EXCHANGE_REPLY} an encoded {@link ExchangePart}, for {@link Kind#WELCOME} the number of
 *     parts of the sender's table
 * @param subject the target of an indirect probe, the remembered incarnation in {@link
 *     Kind#SUPERSEDED}, otherwise the sender
 * @param updates states of members, piggybacked on every kind
 */
public record Message(
    Kind kind,
    Member from,
    long targetIncarnation,
    long requestId,
    Member subject,
    List<MembershipUpdate> updates) {

  /** Kinds of messages. The constants have the names of those in {@code members.proto}. */
  public enum Kind {
    /** Direct probe. */
    PROBE,
    /** Answer to a probe; also relayed for an indirect probe, then about its target. */
    ACK,
    /** Asks the receiver to probe the subject on behalf of the sender. */
    INDIRECT_PROBE,
    /** The receiver of an indirect probe has had no answer in time, but is alive itself. */
    NACK,
    /** Asks a seed for admission. */
    JOIN,
    /** Answer to {@link #JOIN}; carries some of the members. */
    WELCOME,
    /** A later incarnation of the receiver is known: it has to take a greater one. */
    SUPERSEDED,
    /** The sender's states of one part of the table; the receiver answers with the differences. */
    EXCHANGE,
    /** States of that part that differ from those in the request. */
    EXCHANGE_REPLY,
    /** The sender leaves in order. */
    LEAVE,
    /** Carries updates only; not answered. */
    GOSSIP
  }

  /** Copies the updates. */
  public Message {
    updates = List.copyOf(updates);
  }
}
