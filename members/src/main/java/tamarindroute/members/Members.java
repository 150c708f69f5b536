package tamarindroute.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.host.Companion;
import tamarindroute.host.Instance;
import tamarindroute.host.Roster;
import tamarindroute.members.agreed.Agreed;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Member;
import tamarindroute.net.Datagrams;
import tamarindroute.protocol.MalformedException;

/** A gateway's membership, as lives beside it on its owner's thread. */
public final class Members implements Companion, Endpoint.Listener, FeedNews.Others {

    private final MembersSettings settings;
    private Endpoint endpoint;
    private FeedNews news;
    private Agreed agreed;

    public Members(MembersSettings settings) {
        this.settings = settings;
    }

    @Override
    public void started(Instance instance) throws IOException {
        Roster roster = instance.roster();
        news = new FeedNews(settings.name(), new FeedNews.Reader() {
            @Override
            public long last() {
                return roster.last();
            }

            @Override
            public boolean told(long number, String event) throws MalformedException {
                return roster.told(number, event);
            }
        }, instance.clock(), this);
        endpoint = new Endpoint(instance.clock(), new Datagrams(instance.clock()), settings,
                System.currentTimeMillis(), this);
        endpoint.start();
        roster.whenRead(news::read);
        news.start();
        if (!settings.voters().isEmpty()) {
            agreed = new Agreed(instance.clock(), settings.name(), settings.voters(), settings.store(),
                    new Beside(endpoint));
            agreed.start();
        }
    }

    @Override
    public void agreement(Member from, byte[] bytes) {
        if (agreed != null) {
            agreed.received(from, bytes);
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
        if (agreed != null) {
            agreed.close();
        }
        if (endpoint != null) {
            endpoint.leave();
        }
    }
}
