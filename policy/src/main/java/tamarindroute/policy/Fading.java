package tamarindroute.policy;

/** A measure that goes back to its rest within a span; brought up to date when read. */
final class Fading {

    private final double span;
    private double rest, at;
    double value;

    Fading(double span, double rest) {
        this.span = span;
        this.rest = rest;
        this.value = rest;
    }

    double read(double now) {
        value = rest + (value - rest) * Math.exp((at - now) / span);
        at = now;
        return value;
    }

    void add(double amount, double now) {
        value = read(now) + amount;
    }

    void toward(double sample, double part, double now) {
        add(part * (sample - read(now)), now);
    }

    /** For what is out: the rest is what is out now, so that the value is its mean over the span. */
    void shift(double change, double now) {
        read(now);
        rest += change;
    }

    /** What all gateways have out: this one's as it is, the others' as this one's was on average. */
    double ofAll(int sharers, double now) {
        return rest + (sharers - 1) * read(now);
    }
}
