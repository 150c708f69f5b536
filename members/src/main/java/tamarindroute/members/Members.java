package tamarindroute.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.host.Companion;
import tamarindroute.host.Instance;
import tamarindroute.host.Roster;
import tamarindroute.members.agreed.Agreed;
import tamarindroute.members.shares.Shared;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;
import tamarindroute.net.Datagrams;
import tamarindroute.protocol.MalformedException;

/** A gateway's membership, as lives beside it on its owner's thread. */
public final class Members implements Companion, Endpoint.Listener, FeedNews.Others {

  private final MembersSettings settings;
  private final List<Shared> shared;
  private Endpoint endpoint;
  private FeedNews news;
  private Agreed agreed;
  private Sharing sharing;

  public Members(MembersSettings settings) {
    this(settings, List.of());
  }

  /**
   * With bounds that are shared under the agreed view; all are told them alike, and the decisions
   * as many gateways.
   */
  public Members(MembersSettings settings, List<Shared> shared) {
    this.settings = settings;
    this.shared = List.copyOf(shared);
  }

  @Override
  public void started(Instance instance) throws IOException {
    Roster roster = instance.roster();
    news =
        new FeedNews(
            settings.name(),
            new FeedNews.Reader() {
              @Override
              public long last() {
                return roster.last();
              }

              @Override
              public boolean told(long number, String event) throws MalformedException {
                return roster.told(number, event);
              }
            },
            instance.clock(),
            this);
    endpoint =
        new Endpoint(
            instance.clock(),
            new Datagrams(instance.clock()),
            settings,
            System.currentTimeMillis(),
            this);
    endpoint.start();
    roster.whenRead(news::read);
    news.start();
    if (!settings.voters().isEmpty()) {
      agreed =
          new Agreed(
              instance.clock(),
              settings.name(),
              settings.voters(),
              settings.store(),
              new Beside(endpoint));
      agreed.start();
      if (!shared.isEmpty()) {
        sharing = new Sharing(instance.clock(), endpoint, agreed, instance::dealt, shared);
      }
    }
  }

  @Override
  public void agreement(Member from, byte[] bytes) {
    if (agreed != null) {
      agreed.received(from, bytes);
    }
  }

  @Override
  public void became(Member about, Standing standing) {
    if (sharing != null) {
      sharing.became(about, standing);
    }
  }

  @Override
  public void lease(Member from, Letter.Lease word) {
    if (sharing != null) {
      sharing.received(from, word);
    }
  }

  @Override
  public void news(Member from, Letter.News told) {
    news.taken(from, told);
  }

  @Override
  public List<Member> alive() {
    List<Member> others = new ArrayList<>(endpoint.alive());
    others.remove(endpoint.self());
    return others;
  }

  @Override
  public void send(Member to, Letter.Body body) {
    endpoint.send(to, body);
  }

  @Override
  public void stopping() {
    if (sharing != null) {
      sharing.stop();
    }
    if (agreed != null) {
      agreed.close();
    }
    if (endpoint != null) {
      endpoint.leave();
    }
  }
}
