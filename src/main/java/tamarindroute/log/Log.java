package tamarindroute.log;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Owns the program's log lines, one kind a topic, on standard output, and those that libraries write through
 * SLF4J. It must never let a storm through: a topic gets one line a second, the rest are counted in the next.
 */
public final class Log implements SLF4JServiceProvider {

    private static final long PAUSE = 1_000;
    private static final Map<String, long[]> LAST = new HashMap<>();

    /** One line: the topic, explained in docs/oncall.md, and the particulars. */
    public static synchronized void line(String topic, Object particulars) {
        long now = System.currentTimeMillis();
        long[] last = LAST.computeIfAbsent(topic, t -> new long[2]);
        if (now - last[0] < PAUSE) {
            last[1]++;
            return;
        }
        System.out.println(now + " " + topic + ": " + particulars + (last[1] > 0 ? " (+" + last[1] + ")" : ""));
        last[0] = now;
        last[1] = 0;
    }

    /** A failure of the program's own: its kind and the first place it passed. */
    public static void defect(Throwable failure) {
        line("defect", told(failure, 1));
    }

    private static String told(Throwable failure, int places) {
        return failure + Arrays.stream(failure.getStackTrace()).limit(places).map(place -> " at " + place)
                .collect(Collectors.joining());
    }

    /** What a library has to say, from warnings up. */
    private static final class Library extends LegacyAbstractLogger {

        private static final long serialVersionUID = 1L;

        Library(String name) {
            this.name = name;
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        protected String getFullyQualifiedCallerName() {
            return null;
        }

        @Override
        protected void handleNormalizedLoggingCall(Level level, Marker marker, String pattern,
                Object[] arguments, Throwable thrown) {
            line("library", MessageFormatter.basicArrayFormat(pattern, arguments)
                    + (thrown == null ? "" : " " + told(thrown, 6)));
        }
    }

    private final ILoggerFactory loggers = Library::new;
    private final IMarkerFactory markers = new BasicMarkerFactory();

    @Override
    public ILoggerFactory getLoggerFactory() {
        return loggers;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return new NOPMDCAdapter();
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() { }
}
