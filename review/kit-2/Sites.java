/** Settings of small deployments, with the figures of the operators' pages. */
final class Sites {

  private Sites() {}

  /** pick-guide-tas, as the page on the simulator's wire prints it; one shed, three gateways. */
  static String pickGuide(int gateways) {
    return """
        {"Classes":[
          {"AimStretch":1.6,"DeadlineNs":5000000000,"Gain":2.0,"GoalTimeNs":500000000,"Group":"all","LateValue":0.15,
           "Name":"bin-clip","Semantics":"pure","Streamed":false,"WindowNs":5000000000},
          {"AimStretch":2.0,"DeadlineNs":3000000000,"Gain":1.0,"GoalTimeNs":250000000,"Group":"all","LateValue":0.2,
           "Name":"item-card","Semantics":"pure","Streamed":false,"WindowNs":5000000000},
          {"DeadlineNs":3000000000,"Gain":3.0,"GoalTimeNs":600000000,"Group":"all","LateValue":0.0,
           "Name":"pick-confirm","Semantics":"token","Streamed":false,"WindowNs":3000000000}],
         "ClientHabits":{"MarksRetry":true},"Discovery":"automatic","Family":"edge",
         "FamilyInfo":{"BypassAllowed":false,"ByteFee":0.02,"CountByZone":[0,0,0,%d],"GoneEverywhereNs":6000000000,
           "HubOf":[0,1,2,0],"InPieces":[false,false,false],"InletKbPerS":[0.0,0.0,0.0,99452.0],"Joins":false,
           "MaxAgeNs":[0,8000000000,0],"MidKind":1,"Neighbours":"location","NeverKept":[false,false,true],
           "OldCopyWorth":[0.7,0.5,0.7],"OriginBearsNs":3000000000,"OriginStopsAt":0.0,"PaceKbPerS":8500.0,
           "ParentFallMultiple":2.0,"ParentStartsAt":0.064,"PurgeGraceNs":1000000000,"Says":"all",
           "StaleForNs":[0,20000000000,0],"StoreKind":2,"UpperColdNs":22000000000},
         "Layer":0,"Layers":["shed-caches"],
         "Limits":{"Cancel":true,"ConnectTimeoutNs":400000000,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,
           "KeepaliveNs":15000000000,"MaxRetryAfterNs":500000000,"MaxStreams":100,"MayProbe":true,"MayTell":false,
           "OpenCap":20000,"RetryAfter":true,"SecondCopies":false,"TryLimit":8},
         "Me":0,
         "Obligations":{"AnswerSlackNs":8000000,"ColdFrom":0.22,"ColdNs":17000000000,"DrainGraceNs":500000000,
           "FallMultiple":3.0,"FallNs":2000000000,"MustAskInNs":10000000000},
         "OverShareWorth":0.1,"PeriodNs":2000000,"Projects":[],"ReplicasOfMe":%d,
         "Skus":["standard","parent","origin"],"Telemetry":{"Fields":["outstanding","x0","x1"],"Source":"on_probe"},
         "Weights":"rough","WorthBy":"request","Zone":3,"Zones":["north","south","west","edge-1"]}"""
        .formatted(gateways, gateways)
        .replaceAll("\\s*\\n\\s*", "");
  }
}
