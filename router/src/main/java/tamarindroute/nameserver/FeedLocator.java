package tamarindroute.nameserver;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.config.ServiceSettings;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;
import tamarindroute.net.Scheduler;
import tamarindroute.resolver.Forwarder;

/** Finds the control feed's address by the settings and follows it when its name is looked up. */
final class FeedLocator {

  private static final Duration LOOKUP_INTERVAL = Duration.ofSeconds(60);
  private static final Duration LOOKUP_RETRY_INTERVAL = Duration.ofSeconds(2);

  private final Scheduler scheduler;
  private final RouterInstance instance;
  private final Forwarder forwarder;
  private final ActiveSettings active;
  private Runnable cancelNextLookup = () -> {};
  private boolean feedStarted;

  FeedLocator(
      Scheduler scheduler, RouterInstance instance, Forwarder forwarder, ActiveSettings active) {
    this.scheduler = scheduler;
    this.instance = instance;
    this.forwarder = forwarder;
    this.active = active;
  }

  /** Connects the feed to the address in the settings, or starts to look its name up. */
  void locate() {
    String feed = active.settings().feed();
    if (feed == null) {
      follow(active.settings().platform().feed());
    } else if (ServiceSettings.isNumericAddress(feed)) {
      follow(ServiceSettings.parseAddress(feed));
    } else {
      lookUp(feed);
    }
  }

  private void follow(InetSocketAddress address) {
    instance.moveFeed(address);
    if (!feedStarted) {
      feedStarted = true;
      instance.startFeed();
    }
  }

  private void lookUp(String feed) {
    int colon = feed.lastIndexOf(':');
    int port = Integer.parseInt(feed.substring(colon + 1));
    forwarder.query(
        active.resolverRoute(),
        Forwarder.absoluteName(feed.substring(0, colon)),
        Type.A,
        result -> onResult(feed, port, result));
  }

  private void onResult(String feed, int port, Forwarder.Result result) {
    Optional<InetAddress> address = firstAddress(result);
    if (address.isPresent()) {
      follow(new InetSocketAddress(address.get(), port));
    } else {
      Log.infoWithFields("feed-unresolved", "the host name cannot be looked up", "name", feed);
    }
    // Reloads may have started further lookups, of which only one may continue.
    cancelNextLookup.run();
    cancelNextLookup =
        scheduler.schedule(
            address.isPresent() ? LOOKUP_INTERVAL : LOOKUP_RETRY_INTERVAL, () -> lookUpAgain(feed));
  }

  private void lookUpAgain(String feed) {
    if (feed.equals(active.settings().feed())) {
      lookUp(feed);
    }
  }

  private static Optional<InetAddress> firstAddress(Forwarder.Result result) {
    if (!result.isAnswered()) {
      return Optional.empty();
    }
    return result.message().getSection(Section.ANSWER).stream()
        .filter(ARecord.class::isInstance)
        .map(found -> ((ARecord) found).getAddress())
        .findFirst();
  }
}
