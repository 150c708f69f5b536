/** Settings of small deployments, in the form and with the figures of the operators' pages. */
final class Settings {

  private Settings() {}

  /** One class of requests; times in milliseconds. */
  static String requestClass(
      String name, String semantics, int windowMs, int goalMs, double stretch, int deadlineMs) {
    return "{\"Name\":\""
        + name
        + "\",\"Semantics\":\""
        + semantics
        + "\",\"Group\":\"all\",\"WindowNs\":"
        + windowMs
        + "000000,\"GoalTimeNs\":"
        + goalMs
        + "000000,\"AimStretch\":"
        + stretch
        + ",\"DeadlineNs\":"
        + deadlineMs
        + "000000,\"Gain\":2.0,\"LateValue\":0.15,\"Streamed\":false}";
  }

  /** The settings of kitaboshi-recipes, for one gateway in zone 'station-1'. */
  static String kitaboshi(int gateways) {
    return "{\"Classes\":["
        + requestClass("video-parts", "pure", 5000, 600, 2, 5000)
        + ","
        + requestClass("recipe-pages", "pure", 5000, 250, 2, 3000)
        + ","
        + requestClass("cook-reports", "side_effect", 5000, 800, 0, 3000)
        + "],\"ClientHabits\":{\"MarksRetry\":false},\"Discovery\":\"automatic\",\"Family\":\"edge\","
        + "\"FamilyInfo\":{\"BypassAllowed\":true,\"ByteFee\":0.06,\"CountByZone\":[0,"
        + gateways
        + "],\"GoneEverywhereNs\":6000000000,\"HubOf\":[0,0],\"InPieces\":[true,false,false],"
        + "\"InletKbPerS\":[0.0,0.0],\"Joins\":false,\"MaxAgeNs\":[0,20000000000,0],\"MidKind\":1,"
        + "\"Neighbours\":\"any\",\"NeverKept\":[false,false,true],\"OldCopyWorth\":[0.7,0.5,0.7],"
        + "\"OriginBearsNs\":3000000000,\"OriginStopsAt\":0.0,\"PaceKbPerS\":8500.0,"
        + "\"ParentFallMultiple\":2.0,\"ParentStartsAt\":0.076,\"PurgeGraceNs\":500000000,"
        + "\"Says\":\"all\",\"StaleForNs\":[0,20000000000,0],\"StoreKind\":2,"
        + "\"UpperColdNs\":21000000000},\"Limits\":{\"Cancel\":true,\"ConnectTimeoutNs\":400000000,"
        + "\"KeepaliveNs\":15000000000,\"MaxRetryAfterNs\":1000000000,\"MaxStreams\":32,"
        + "\"MayProbe\":true,\"MayTell\":false,\"OpenCap\":20000,\"RetryAfter\":false,"
        + "\"SecondCopies\":true,\"TryLimit\":6},\"Me\":0,\"Obligations\":{\"AnswerSlackNs\":8000000,"
        + "\"ColdFrom\":0.16,\"ColdNs\":18000000000,\"DrainGraceNs\":250000000,\"FallMultiple\":3.0,"
        + "\"FallNs\":2000000000},\"ReplicasOfMe\":"
        + gateways
        + ",\"Skus\":[\"std-box\",\"parent\",\"origin\"],\"Telemetry\":{\"Fields\":[\"utilization\","
        + "\"x0\"],\"Source\":\"inline\"},\"Weights\":\"nominal\",\"WorthBy\":\"request\",\"Zone\":1,"
        + "\"Zones\":[\"north\",\"station-1\"]}";
  }
}
