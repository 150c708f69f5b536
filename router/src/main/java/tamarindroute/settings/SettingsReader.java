package tamarindroute.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Settings;

/**
 * Decodes what an instance is born with, for every host alike; keys that nobody reads are skipped. A host hands
 * over names with their values, as the simulator's lines spell them.
 */
public final class SettingsReader {

    private final Map<String, String> values;

    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** From lines of the form name=value. */
    public static SettingsReader ofLines(String text) throws MalformedSettingsException {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals < 0 && !line.isBlank()) {
                throw new MalformedSettingsException("a settings line without '=': " + line);
            }
            if (equals > 0) {
                values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            }
        }
        return new SettingsReader(values);
    }

    /** Whether the other one was told the same. */
    @Override
    public boolean equals(Object other) {
        return other instanceof SettingsReader reader && values.equals(reader.values);
    }

    @Override
    public int hashCode() {
        return values.hashCode();
    }

    /** A name or value as the lines spell it, where spaces and commas have another use. */
    public static String plain(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    private String text(String key, String absent) {
        String value = values.get(key);
        return value == null || value.isEmpty() ? absent : value;
    }

    private double number(String key, double absent) throws MalformedSettingsException {
        String value = text(key, null);
        try {
            return value == null ? absent : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedSettingsException("the setting " + key + " is no number: " + value);
        }
    }

    private Duration span(String key) throws MalformedSettingsException {
        return Duration.ofNanos((long) number(key, 0));
    }

    private boolean truth(String key) {
        return text(key, "false").equals("true");
    }

    private List<String> list(String key) {
        String value = text(key, null);
        return value == null ? List.of() : Arrays.asList(value.split(","));
    }

    private String item(String key, int place, String absent) {
        List<String> items = list(key);
        return place < items.size() ? items.get(place) : absent;
    }

    private double itemNumber(String key, int place) throws MalformedSettingsException {
        try {
            return Double.parseDouble(item(key, place, "0"));
        } catch (NumberFormatException e) {
            throw new MalformedSettingsException("the setting " + key + " holds no number at " + place);
        }
    }

    public List<Profile> profiles() throws MalformedSettingsException {
        List<Profile> profiles = new ArrayList<>();
        int count = (int) number("Classes.count", 0);
        for (int i = 0; i < count; i++) {
            String at = "Classes." + i + ".";
            profiles.add(new Profile(
                    switch (text(at + "Semantics", "side_effect")) {
                        case "pure" -> Profile.Repeat.REISSUABLE;
                        case "token" -> Profile.Repeat.NUMBERED;
                        default -> Profile.Repeat.AT_MOST_ONCE;
                    },
                    switch (text(at + "Group", "cell")) {
                        case "all" -> Profile.Group.ALL;
                        case "zone" -> Profile.Group.ZONE;
                        default -> Profile.Group.CELL;
                    },
                    span(at + "WindowNs"),
                    span(at + "GoalTimeNs"),
                    number(at + "AimStretch", 0),
                    !item("FamilyInfo.NeverKept", i, "false").equals("true"),
                    Duration.ofNanos((long) itemNumber("FamilyInfo.MaxAgeNs", i))));
        }
        return profiles;
    }

    public Settings settings(long seed) throws MalformedSettingsException {
        int zone = (int) number("Zone", 0);
        List<Integer> hubOf = new ArrayList<>();
        for (int i = 0; i < list("FamilyInfo.HubOf").size(); i++) {
            hubOf.add((int) itemNumber("FamilyInfo.HubOf", i));
        }
        int gateways = Math.max(1, (int) number("ReplicasOfMe", 1));
        int inZone = (int) itemNumber("FamilyInfo.CountByZone", zone);
        return new Settings(
                seed,
                zone,
                gateways,
                inZone > 0 ? inZone : gateways,
                hubOf,
                number("FamilyInfo.PaceKbPerS", 0),
                itemNumber("FamilyInfo.InletKbPerS", zone),
                truth("FamilyInfo.BypassAllowed"),
                !text("FamilyInfo.Neighbours", "off").equals("off"),
                text("FamilyInfo.Says", "off").equals("all"),
                truth("Limits.SecondCopies"),
                truth("Limits.Cancel"),
                truth("Limits.RetryAfter") ? span("Limits.MaxRetryAfterNs") : null,
                Math.max(1, (int) number("Limits.TryLimit", 1)),
                new Settings.ColdStart(
                        number("Obligations.ColdFrom", 1),
                        span("Obligations.ColdNs"),
                        number("Obligations.FallMultiple", 1),
                        span("Obligations.FallNs")),
                new Settings.ColdStart(
                        number("FamilyInfo.ParentStartsAt", 1),
                        span("FamilyInfo.UpperColdNs"),
                        number("FamilyInfo.ParentFallMultiple", 1),
                        span("Obligations.FallNs")),
                span("FamilyInfo.GoneEverywhereNs"));
    }

    /** The kind of machine that the parents are of; -1 where there are none. */
    public int parentKind() throws MalformedSettingsException {
        return (int) number("FamilyInfo.MidKind", -1);
    }

    /** The kind of machine that the origin is of; -1 where there is none. */
    public int originKind() throws MalformedSettingsException {
        return (int) number("FamilyInfo.StoreKind", -1);
    }

    public List<String> reportFields() {
        return list("Telemetry.Fields");
    }

    public boolean mustAskForList() {
        return text("Discovery", "automatic").equals("subscribe");
    }

    public Duration mustAskWithin() throws MalformedSettingsException {
        return span("Obligations.MustAskInNs");
    }

    /** The profiles' names, in their order. */
    public List<String> profileNames() throws MalformedSettingsException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < (int) number("Classes.count", 0); i++) {
            names.add(text("Classes." + i + ".Name", ""));
        }
        return names;
    }

    public List<String> zones() {
        return list("Zones");
    }

    /** The kinds of machine, in their order. */
    public List<String> kinds() {
        return list("Skus");
    }

    /** The views that a gateway may have in hand. */
    public int mostInHand() throws MalformedSettingsException {
        return (int) number("Limits.OpenCap", Integer.MAX_VALUE);
    }

    public Duration connectWithin() throws MalformedSettingsException {
        return span("Limits.ConnectTimeoutNs");
    }

    public Duration keepIdle() throws MalformedSettingsException {
        return span("Limits.KeepaliveNs");
    }

    /** The requests that one connection to a cache carries. */
    public int mostOnConnection() throws MalformedSettingsException {
        return (int) number("Limits.MaxStreams", Integer.MAX_VALUE);
    }

    /** The longest that a client waits, over all profiles. */
    public Duration longestCutOff() throws MalformedSettingsException {
        Duration longest = Duration.ZERO;
        for (int i = 0; i < (int) number("Classes.count", 0); i++) {
            Duration one = span("Classes." + i + ".DeadlineNs");
            longest = one.compareTo(longest) > 0 ? one : longest;
        }
        return longest;
    }
}
