package tamarindroute.dns;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Owns the load that answers handed out still bring: an answer can't be called back, so what it
 * brings stays on the account of its address until its last keeper has forgotten it. Lives are
 * rounded up to whole slots, never down. It must never forget load early, also not when its cache
 * goes: resolvers go on sending clients to the address.
 */
final class HandedOutLoad {

  /**
   * A life is told to this part of the longest, which overstates the load by less than that. With
   * 64 slots, cohorts of resolvers that came back together were still on the account, and were sent
   * elsewhere in turn: shares were off by half.
   */
  private static final int SLOTS = 256;

  /**
   * More addresses than a list names, of 2 KB each; past it new ones are refused, which steers
   * nobody there.
   */
  private static final int MAX_ADDRESSES = 10_000;

  private final long slotNanos;
  private final Map<Object, Account> accounts = new HashMap<>();

  private static final class Account {
    final double[] expiringLoad = new double[SLOTS + 2];
    double totalLoad;
    long currentSlot;
  }

  HandedOutLoad(Duration longest) {
    slotNanos = Math.max(1, longest.toNanos() / SLOTS + 1);
  }

  /** The load at an address that answers given so far still bring. */
  double load(Object address, Duration now) {
    Account account = accounts.get(address);
    return account == null ? 0 : advance(account, now);
  }

  /**
   * An answer given now is kept for so long; false where there is no room to note it, and it must
   * not be given.
   */
  boolean add(Object address, double load, Duration life, Duration now) {
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
    long ends = (now.toNanos() + life.toNanos()) / slotNanos + 1;
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

  /** Whether no answer noted here is kept any more. */
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

  /** The addresses on account; for tests of its bound. */
  int size() {
    return accounts.size();
  }
}
