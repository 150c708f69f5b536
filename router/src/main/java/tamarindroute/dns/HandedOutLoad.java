package tamarindroute.dns;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Load by address of the answers that resolvers may still cache. An answer cannot be withdrawn, so
 * its load counts until the last resolver has dropped it, also after the cache itself is gone.
 * Expiry times are rounded up to whole slots.
 */
final class HandedOutLoad {

  /** Slots of the longest cache time. Rounding overstates the load by less than one slot of it. */
  private static final int SLOTS = 256;

  /** Most addresses with load, of about 2 KB each; further ones are refused. */
  private static final int MAX_ADDRESSES = 10_000;

  private final long slotNanos;
  private final Map<Object, Account> accounts = new HashMap<>();

  /** Load of one address by the slot in which it expires, as a ring. */
  private static final class Account {
    final double[] expiringLoad = new double[SLOTS + 2];
    double totalLoad;
    long currentSlot;
  }

  /**
   * Creates an empty account.
   *
   * @param maxCacheTime the longest time that an answer may be cached
   */
  HandedOutLoad(Duration maxCacheTime) {
    slotNanos = Math.max(1, maxCacheTime.toNanos() / SLOTS + 1);
  }

  /** Returns the load that cached answers may still bring to an address. */
  double load(Object address, Duration now) {
    Account account = accounts.get(address);
    return account == null ? 0 : advance(account, now);
  }

  /** Counts an answer that may be cached for a time; false if the table of addresses is full. */
  boolean add(Object address, double load, Duration cacheTime, Duration now) {
    Account account = accounts.get(address);
    if (account == null) {
      if (accounts.size() >= MAX_ADDRESSES) {
        removeExpired(now);
      }
      if (accounts.size() >= MAX_ADDRESSES) {
        return false;
      }
      account = new Account();
      account.currentSlot = now.toNanos() / slotNanos;
      accounts.put(address, account);
    }
    advance(account, now);
    // The end is reckoned from now itself, not from the slot's begin, and the slot in which it
    // falls is whole.
    long ends = (now.toNanos() + cacheTime.toNanos()) / slotNanos + 1;
    int ahead = (int) Math.min(SLOTS + 1, Math.max(1, ends - account.currentSlot));
    account.expiringLoad[(int) ((account.currentSlot + ahead) % account.expiringLoad.length)] +=
        load;
    account.totalLoad += load;
    return true;
  }

  private double advance(Account account, Duration now) {
    long current = now.toNanos() / slotNanos;
    // Time that was set back brings nothing back; what was counted stays until time has caught up.
    for (long steps = Math.min(current - account.currentSlot, account.expiringLoad.length);
        steps > 0;
        steps--) {
      account.currentSlot++;
      int place = (int) (account.currentSlot % account.expiringLoad.length);
      account.totalLoad -= account.expiringLoad[place];
      account.expiringLoad[place] = 0;
    }
    if (current > account.currentSlot) {
      // Longer ago than any life: all was cleared above.
      account.currentSlot = current;
      account.totalLoad = 0;
    }
    account.totalLoad = account.totalLoad < 1e-9 ? 0 : account.totalLoad;
    return account.totalLoad;
  }

  /** Returns whether all answers have expired. */
  boolean isEmpty(Duration now) {
    removeExpired(now);
    return accounts.isEmpty();
  }

  private void removeExpired(Duration now) {
    for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
      if (advance(all.next(), now) == 0) {
        all.remove();
      }
    }
  }

  /** Returns the number of addresses; for tests of the limit. */
  int size() {
    return accounts.size();
  }
}
