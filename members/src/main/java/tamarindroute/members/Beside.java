package tamarindroute.members;

import java.time.Duration;
import java.util.Map;
import tamarindroute.members.agreed.Agreed;
import tamarindroute.members.shares.Shares;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;

/** An endpoint as the agreed view and the shares see it. */
record Beside(Endpoint endpoint) implements Agreed.Others, Shares.Others {

  /**
   * No birth is below 1: this one stands for whatever life is there, the agreement's messages name
   * theirs.
   */
  private static final long ANY = 0;

  @Override
  public Member self() {
    return endpoint.self();
  }

  @Override
  public Map<Member, Standing> members() {
    return endpoint.members();
  }

  @Override
  public boolean inTouch() {
    return endpoint.touch().inTouch();
  }

  @Override
  public void send(Address to, byte[] bytes) {
    endpoint.send(new Member(to, ANY), new Letter.Agreement(bytes));
  }

  @Override
  public void send(Member to, Letter.Lease word) {
    endpoint.send(to, word);
  }

  @Override
  public void probe(Address place, Letter.Lease word, Duration within, Runnable refused) {
    endpoint.probe(place, word, within, refused);
  }
}
