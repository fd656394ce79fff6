/** State of the sharing of work between zones. */

/** The capacity of a cell for one service, as its leader reports it. */
export interface ServiceRoom {
  /**
   * CPU for further tasks: whole places for tasks of the mean size of those that
   * run, less what the queued tasks need.
   */
  readonly idleMilli: number;
  /** CPU that such tasks can use, whether it is in use or idle. */
  readonly capacityMilli: number;
}

/** A moving average, which weighs recent values more. */
export interface UsualRate {
  value: number;
  updatedAtMs: number;
}

/** Room by service. */
export type RoomByService = Readonly<Record<string, ServiceRoom>>;

/** A job that a leader has handed to another zone lately. */
export interface RecentHandOver {
  readonly zone: string;
  readonly service: string;
  /** CPU that all tasks of the job need together. */
  readonly cpuMilli: number;
  readonly atMs: number;
}

/** What a leader knows of the work that it shares with other zones. */
export interface ZoneSharing {
  /** Room of this leader's cell, as its heartbeats report it. */
  room: RoomByService;
  /** CPU for the work that entries of this zone usually submit, by service. */
  readonly offered: Map<string, UsualRate>;
  /** CPU for the work that is usually handed over, by zone and service. */
  readonly sent: Map<string, UsualRate>;
  /** Hand-overs that reports may not include yet, oldest first. */
  readonly recent: RecentHandOver[];
  /** Number of jobs in memory that entries of this zone submitted in this term. */
  ownJobs: number;
  /** Number of jobs handed over in this term, by zone. */
  readonly jobsByZone: Map<string, number>;
}

/** Returns the state of a leader that has not handed over any job. */
export function createZoneSharing(): ZoneSharing {
  return {
    room: {},
    offered: new Map(),
    sent: new Map(),
    recent: [],
    ownJobs: 0,
    jobsByZone: new Map(),
  };
}

/** What a leader knows of a job in memory that the leader of another zone has. */
export interface JobClaim {
  readonly zone: string;
  readonly leaderId: string;
  readonly term: number;
  /** Time at which the entry of that leader received the job. */
  readonly receivedAtMs: number;
  /** Time up to which that leader has the job or remembers its outcome. */
  readonly expiresAtMs: number;
}

/** A job in memory that one of two leaders has. */
export interface HeldJob {
  readonly zone: string;
  /** Time since its entry received it. */
  readonly heldMs: number;
}

/** The leader of another zone whose claims were requested. */
export interface ClaimSource {
  readonly term: number;
  requestedAtMs: number;
  isAnswered: boolean;
}

/** The claims that a leader exchanges with those of other zones. */
export interface JobClaims {
  /** Claims of other leaders, by job id; at most one of each leader. */
  readonly byJob: Map<string, readonly JobClaim[]>;
  /** The leaders whose claims were requested, by instance id. */
  readonly sources: Map<string, ClaimSource>;
  /** Leaders to which claims are sent, each with the time of its request. */
  readonly subscribers: Map<string, number>;
  /** Ids of ended jobs, which are released once their runs are gone. */
  readonly ending: Set<string>;
  /** Time of the latest removal of expired claims. */
  sweptAtMs: number;
}

/** Returns the state of a leader that has exchanged no claims. */
export function createJobClaims(): JobClaims {
  return {
    byJob: new Map(),
    sources: new Map(),
    subscribers: new Map(),
    ending: new Set(),
    sweptAtMs: -Infinity,
  };
}
