package tamarindroute.membership;

import java.util.List;

/**
 * What members say to each other of who is there; bounded by what carries it and read whole before
 * it counts.
 *
 * @param targetIncarnation the life it is meant for; 0 where the sender does not know it. Another
 *     life must not take it
 * @param requestId of the probe, of the part of an exchange
 * @param subject whom it is about: the target of an indirect probe, the remembered life in
 *     SUPERSEDED; else the sender
 */
public record Message(
    Kind kind,
    Member from,
    long targetIncarnation,
    long requestId,
    Member subject,
    List<MembershipUpdate> updates) {

  public enum Kind {
    /** Are you there? */
    PROBE,
    /** I am; also passed on for a third member's probe, then about that one. */
    ACK,
    /** Probe this one for me. */
    PROBE_FOR,
    /** I was asked to probe it and have not heard from it in time: I at least am there. */
    NACK,
    /** Let me in. */
    JOIN,
    /** You are in; rumours tell who is there. */
    WELCOME,
    /** A later life than yours was here: take a greater birth. */
    SUPERSEDED,
    /** All I hold, in parts; the other side answers with what it holds otherwise. */
    EXCHANGE,
    EXCHANGE_BACK,
    /** I go. */
    LEAVE,
    /** What I heard lately; wants no answer. */
    GOSSIP
  }

  public Message {
    updates = List.copyOf(updates);
  }
}
