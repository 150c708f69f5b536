package tamarindroute.membership;

import java.util.List;

/**
 * Message between members. The transport decodes a message completely and checks its size before
 * {@link Membership#onMessage} receives it.
 *
 * @param kind kind of request, answer or notification
 * @param from the sender
 * @param targetIncarnation incarnation of the intended receiver, or 0 if the sender does not know
 *     it. Another incarnation at the same address ignores the message. Only a {@link Kind#JOIN} may
 *     have 0.
 * @param requestId id that the answer repeats, so that the sender finds the request. For {@link
 *     Kind#EXCHANGE} and {@link Kind#EXCHANGE_REPLY} an encoded {@link ExchangePart}, for {@link
 *     Kind#WELCOME} the number of parts of the sender's table.
 * @param subject the target of an indirect probe, the known incarnation in {@link Kind#SUPERSEDED},
 *     otherwise the sender
 * @param updates updates about members, piggybacked on messages of every kind
 */
public record Message(
    Kind kind,
    Member from,
    long targetIncarnation,
    long requestId,
    Member subject,
    List<MembershipUpdate> updates) {

  /** Kinds of messages. The names are the same as in {@code members.proto}. */
  public enum Kind {
    /** Request that a live receiver answers with {@link #ACK}. */
    PROBE,
    /** Answer to a probe. The helper of an indirect probe relays it with the target as subject. */
    ACK,
    /** Request to probe the subject on behalf of the sender. */
    INDIRECT_PROBE,
    /** Notification that the target of an indirect probe has not answered its helper in time. */
    NACK,
    /** Request for admission, sent to a seed. */
    JOIN,
    /** Admission, the answer to {@link #JOIN}. Carries updates about some of the live members. */
    WELCOME,
    /**
     * Notification that a later incarnation of the receiver is known, so it has to raise its own.
     */
    SUPERSEDED,
    /** Sender's states of one part of its table, answered with {@link #EXCHANGE_REPLY}. */
    EXCHANGE,
    /** States of the requested part that differ from those in the {@link #EXCHANGE} message. */
    EXCHANGE_REPLY,
    /** Notification that the sender leaves. */
    LEAVE,
    /** Carries only updates and is not answered. */
    GOSSIP
  }

  /** Copies the list of updates. */
  public Message {
    updates = List.copyOf(updates);
  }
}
