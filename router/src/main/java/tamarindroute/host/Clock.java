package tamarindroute.host;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import tamarindroute.log.Log;
import tamarindroute.net.Timers;

/**
 * Owns the one thread that the module, the views and the timers belong to, and the time since the start by the
 * system's Unix clock. Timers that are due go before what was handed over, so that a backlog delays no final
 * answer. A failure in a task is logged and must never end the thread; nothing here takes a lock.
 */
public final class Clock implements Timers {

    private static final class Timer implements Comparable<Timer> {
        final long due;
        Runnable task;

        Timer(long due, Runnable task) {
            this.due = due;
            this.task = task;
        }

        @Override
        public int compareTo(Timer other) {
            return Long.signum(due - other.due);
        }
    }

    /** So few timers that were called off are not worth looking for. */
    private static final int FEW = 1000;

    private final Instant start = Instant.now();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Thread owner = new Thread(this::run, "owner");
    private final HandOver handed = new HandOver(owner);
    private int calledOff;

    public Clock() {
        owner.start();
    }

    @Override
    public Duration now() {
        return Duration.between(start, Instant.now());
    }

    /** A Unix time in milliseconds as a time since the start; it may lie before it. */
    public Duration at(long unixMillis) {
        return Duration.between(start, Instant.ofEpochMilli(unixMillis));
    }

    @Override
    public void handOver(Runnable task) {
        handed.handOver(task);
    }

    /** A timer that is called off lets go of its task at once, and of its place when most of them are so. */
    @Override
    public Runnable after(Duration span, Runnable task) {
        Timer timer = new Timer(System.nanoTime() + Math.max(0, span.toNanos()), task);
        timers.add(timer);
        return () -> {
            if (timer.task != null) {
                timer.task = null;
                if (++calledOff > FEW && calledOff > timers.size() / 2) {
                    timers.removeIf(t -> t.task == null);
                    calledOff = 0;
                }
            }
        };
    }

    private void run() {
        while (true) {
            Timer next = timers.peek();
            long left = next == null ? Long.MAX_VALUE : next.due - System.nanoTime();
            if (left <= 0) {
                timers.poll();
                Runnable due = next.task;
                next.task = null;
                calledOff -= due == null ? 1 : 0;
                guarded(due);
                continue;
            }
            Runnable task = handed.poll();
            if (task != null) {
                guarded(task);
                continue;
            }
            handed.rest(left);
        }
    }

    private static void guarded(Runnable task) {
        if (task == null) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            Log.defect(e);
        }
    }
}
