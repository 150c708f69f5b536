package tamarindroute.decision;

/** A cache's own word on its load: the part of its cores that is busy. */
public record Load(double busy) { }
