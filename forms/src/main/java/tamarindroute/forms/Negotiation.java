package tamarindroute.forms;

import java.util.Collection;

/**
 * One view's forms: what its client reads, what the level lets be used, and the one form that it
 * may have run in before. It tells for each cache, and each fill source behind it, the newest form
 * in which the view may go there, if there is one. The order of caches stays the module's; so a
 * view is not refused for its form while a cache that speaks it has room.
 */
public final class Negotiation {

  /** No form: the cache, or the cache with this source, is not for this view. */
  public static final int NO_FORM = -1;

  private final Forms open;

  private Negotiation(Forms open) {
    this.open = open;
  }

  /**
   * A view that may go in any form its client reads, on each trip anew: it is safe to repeat, or
   * has not run.
   */
  public static Negotiation free(Forms client, Forms usable) {
    return new Negotiation(client.and(usable));
  }

  /**
   * A view that must keep its first form, whatever the level lets be used now: a second run in
   * another form would not be known again. It is null where some trip may have run in a form that
   * is not known; then no form is right.
   */
  public static Negotiation kept(Forms client, Integer first) {
    return new Negotiation(first == null ? Forms.NONE : client.and(Forms.of(first)));
  }

  /** The newest form for a trip that asks this cache for what it holds. */
  public int look(Spoken cache) {
    return open.and(cache.both()).newest();
  }

  /**
   * The newest form for a trip that this cache fills from there: it reads the source's answer and
   * passes it on.
   */
  public int fill(Spoken cache, Spoken source) {
    return open.and(cache.both()).and(source.both()).newest();
  }

  /**
   * Whether any of these could take the view; if not, it is answered at once with the forms that
   * are spoken.
   */
  public boolean possible(Collection<Spoken> caches) {
    return caches.stream().anyMatch(cache -> look(cache) != NO_FORM);
  }

  /** All that these speak, to be told to a client with which none of them has a form in common. */
  public static Forms spoken(Collection<Spoken> caches) {
    return caches.stream().map(Spoken::both).reduce(Forms.NONE, Forms::or);
  }
}
