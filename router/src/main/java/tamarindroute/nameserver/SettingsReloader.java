package tamarindroute.nameserver;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import tamarindroute.config.InvalidSettingsException;
import tamarindroute.config.ServiceSettings;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;

/** Reads the settings file again on SIGHUP and applies it as a whole or not at all. */
final class SettingsReloader {

  private static final String KEPT = "the previous settings stay in use: ";

  private final Path file;
  private final EventLoop eventLoop;
  private final ActiveSettings active;
  private final FeedLocator feedLocator;

  SettingsReloader(Path file, EventLoop eventLoop, ActiveSettings active, FeedLocator feedLocator) {
    this.file = file;
    this.eventLoop = eventLoop;
    this.active = active;
    this.feedLocator = feedLocator;
  }

  /** Reloads the settings, on the signal's thread. */
  synchronized void reload() {
    try {
      ServiceSettings changed = ServiceSettings.read(file);
      if (!changed.platform().settings().equals(active.settings().platform().settings())) {
        // Zones and request classes of the running policies would no longer match.
        Log.info(
            "configuration-invalid", KEPT + "a change of the instance's settings needs a restart");
        return;
      }
      List<String> needRestart = changesThatNeedRestart(changed);
      eventLoop.execute(
          () -> {
            active.apply(changed);
            feedLocator.locate();
            Log.info("configuration-reloaded", describe(needRestart));
          });
    } catch (InvalidSettingsException e) {
      Log.info("configuration-invalid", KEPT + e.summary());
    }
  }

  private static String describe(List<String> needRestart) {
    return needRestart.isEmpty()
        ? "settings reloaded"
        : "settings reloaded; changes that need a restart: " + String.join(", ", needRestart);
  }

  /** Returns the changed settings that take effect only at the next start. */
  private List<String> changesThatNeedRestart(ServiceSettings changed) {
    ServiceSettings current = active.settings();
    List<String> names = new ArrayList<>();
    if (!changed.dns().listen().equals(current.dns().listen())) {
      names.add("listen");
    }
    if (changed.instances() != current.instances()) {
      names.add("instances");
    }
    if (!Objects.equals(changed.dns().healthChecks(), current.dns().healthChecks())) {
      names.add("probing");
    }
    return names;
  }
}
