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
final class Ledger {

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
  private static final int MOST = 10_000;

  private final long slot;
  private final Map<Object, Account> accounts = new HashMap<>();

  private static final class Account {
    final double[] ending = new double[SLOTS + 2];
    double sum;
    long at;
  }

  Ledger(Duration longest) {
    slot = Math.max(1, longest.toNanos() / SLOTS + 1);
  }

  /** The load at an address that answers given so far still bring. */
  double out(Object address, Duration now) {
    Account account = accounts.get(address);
    return account == null ? 0 : forward(account, now);
  }

  /**
   * An answer given now is kept for so long; false where there is no room to note it, and it must
   * not be given.
   */
  boolean give(Object address, double load, Duration life, Duration now) {
    Account account = accounts.get(address);
    if (account == null) {
      if (accounts.size() >= MOST) {
        sweep(now);
      }
      if (accounts.size() >= MOST) {
        return false;
      }
      account = new Account();
      account.at = now.toNanos() / slot;
      accounts.put(address, account);
    }
    forward(account, now);
    // The end is reckoned from now itself, not from the slot's begin, and the slot in which it
    // falls is whole.
    long ends = (now.toNanos() + life.toNanos()) / slot + 1;
    int ahead = (int) Math.min(SLOTS + 1, Math.max(1, ends - account.at));
    account.ending[(int) ((account.at + ahead) % account.ending.length)] += load;
    account.sum += load;
    return true;
  }

  private double forward(Account account, Duration now) {
    long current = now.toNanos() / slot;
    // Time that was set back brings nothing back; what was counted stays until time has caught up.
    for (long steps = Math.min(current - account.at, account.ending.length); steps > 0; steps--) {
      account.at++;
      int place = (int) (account.at % account.ending.length);
      account.sum -= account.ending[place];
      account.ending[place] = 0;
    }
    if (current > account.at) {
      // Longer ago than any life: all was cleared above.
      account.at = current;
      account.sum = 0;
    }
    account.sum = account.sum < 1e-9 ? 0 : account.sum;
    return account.sum;
  }

  /** Whether no answer noted here is kept any more. */
  boolean isEmpty(Duration now) {
    sweep(now);
    return accounts.isEmpty();
  }

  private void sweep(Duration now) {
    for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
      if (forward(all.next(), now) == 0) {
        all.remove();
      }
    }
  }

  /** The addresses on account; for tests of its bound. */
  int size() {
    return accounts.size();
  }
}
