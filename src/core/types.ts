/** The shared types of the core: state, events and effects. */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { DiagnosticName } from "./diagnostics.ts";
import type { RunEstimate } from "../engine/estimates.ts";
import type { Guards } from "./guards.ts";
import type {
  Answer,
  Configuration,
  ConfigurationDocument,
  GroupRole,
  InstanceRef,
  Json,
  PeerMessage,
  PeerMessageOf,
  ServiceLoad,
  Submission,
  TaskEnd,
  UpstreamMember,
} from "./schemas.ts";

/** The stable name and place of one entry instance. */
export interface Slot {
  readonly slot: string;
  readonly availabilityZone: string;
  /** Slots are shared and lent within a region. */
  readonly region: string;
}

/** How an upstream's part in a send ended. */
export type SendOutcome =
  | { readonly kind: "done"; readonly taskId: string; readonly result: Json }
  | {
    readonly kind: "failed";
    readonly taskId: string;
    readonly detail: string;
  }
  | { readonly kind: "notRun"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** What the shell tells the core. `nowMs` is monotonic, `wallMs` is not. */
export type CoreEvent =
  & { readonly nowMs: number }
  & (
    | { readonly type: "tick"; readonly wallMs: number }
    | {
      readonly type: "callerSubmit";
      readonly wallMs: number;
      readonly requestId: string;
      readonly team: string;
      readonly key: string | null;
      readonly attempt: number | null;
      /** When the key was made, where it tells. */
      readonly keyCreatedMs: number | null;
      readonly payloadHash: string;
      readonly wait: boolean;
      readonly submission: Submission;
    }
    | {
      readonly type: "callerQuery";
      readonly requestId: string;
      readonly team: string;
      readonly jobId: string;
      readonly wait: boolean;
    }
    | {
      readonly type: "callerCancel";
      readonly requestId: string;
      readonly team: string;
      readonly jobIds: string[];
    }
    | { readonly type: "callerGone"; readonly requestId: string }
    | {
      readonly type: "sendEnded";
      readonly sendId: string;
      readonly outcome: SendOutcome;
    }
    | {
      readonly type: "peerMessage";
      readonly from: InstanceRef;
      readonly message: PeerMessage;
    }
    | { readonly type: "peerDown"; readonly slot: string }
    | {
      readonly type: "membershipRead";
      readonly membershipVersion: number;
      readonly upstreams: UpstreamMember[];
    }
    | {
      readonly type: "configurationRead";
      readonly document: ConfigurationDocument;
    }
    | { readonly type: "virginBoot" }
    | { readonly type: "drainRequested" }
  );

/** The event of one type. */
export type CoreEventOf<T extends CoreEvent["type"]> = Extract<
  CoreEvent,
  { type: T }
>;

/** What the core asks of the shell. */
export type Effect =
  | {
    readonly type: "replyCaller";
    readonly requestId: string;
    readonly reply: CallerReply;
  }
  | {
    readonly type: "sendTask";
    readonly sendId: string;
    readonly taskId: string;
    readonly key: string;
    readonly upstreamId: string;
    readonly address: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: Json;
    readonly timeoutMs: number;
  }
  | {
    readonly type: "sendPeer";
    readonly slot: string;
    readonly message: PeerMessage;
  }
  | {
    readonly type: "log";
    readonly level: "info" | "warn" | "error";
    readonly part: string;
    readonly text: string;
  }
  | { readonly type: "drained" };

/** What a caller is told: the end of its job, or a refusal. */
export type CallerReply =
  | { readonly kind: "answer"; readonly answer: Answer }
  | { readonly kind: "accepted"; readonly jobId: string }
  | {
    readonly kind: "refused";
    readonly diagnostic: DiagnosticName;
    readonly argument: string;
  };

/** Where one task stands. */
export type TaskState =
  | "queued"
  | "sent"
  | TaskEnd;

/** One task of a job. */
export interface Task {
  readonly taskId: string;
  readonly index: number;
  readonly payload: Json;
  readonly declaredMs: number | null;
  /** Estimated run time. */
  readonly estimatedMs: number;
  state: TaskState;
  sends: number;
  result: Json | undefined;
}

/** Somebody who waits for a job's answer. */
export type Waiter =
  | { readonly kind: "caller"; readonly requestId: string }
  | { readonly kind: "peer"; readonly slot: string; readonly attachId: string };

/** The claim under way for a job's key. */
export interface ClaimAttempt {
  claimId: string;
  readonly chain: readonly ClaimGroup[];
  chainIndex: number;
  stage: "claiming" | "sealing" | "attaching";
  readonly replies: Map<GroupRole, PeerMessageOf<"claimReply">>;
  sentAtMs: number;
  resends: number;
  attachId: string | null;
  heardAny: boolean;
}

/** The pair of slots that together guard a key. */
export interface ClaimGroup {
  /** The name of the group: its owner's slot. */
  readonly group: string;
  readonly owner: string;
  readonly witness: string;
}

/** A job this instance runs, or has run. */
export interface Job {
  readonly jobId: string;
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly flow: string;
  readonly urgency: number;
  readonly scopedKey: string | null;
  readonly payloadHash: string;
  /** The attempt this job speaks for; null once others wait for it too. */
  attempt: number | null;
  readonly createdWallMs: number | null;
  readonly receivedAtMs: number;
  readonly receivedWallMs: number;
  readonly deadlineAtMs: number;
  readonly tasks: Task[];
  readonly waiters: Waiter[];
  state: "claiming" | "running" | "ended";
  claim: ClaimAttempt | null;
  grantedGroup: ClaimGroup | null;
  /** Indices of the tasks, the longest by estimate first. */
  readonly sendOrder: readonly number[];
  /** The place in that order of the first task that may be unsent. */
  nextQueued: number;
  unfinished: number;
  /** Estimated run time of the next unsent task. */
  nextRunMs: number;
  /** Tasks that were not sent yet. */
  tasksLeft: number;
  /** Estimated run time of the slowest task. */
  readonly expectedMs: number;
  answer: Answer | null;
  endedAtMs: number;
}

/** One send of one task to one upstream. */
export interface Send {
  readonly sendId: string;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly upstreamId: string;
  readonly borrowedFrom: string | null;
  readonly sentAtMs: number;
}

/** What this instance knows of one upstream. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly slots: number;
  leaving: boolean;
  /** Slots that are this instance's to use or lend. */
  ownedSlots: number;
  inFlightOwned: number;
  /** Sends in progress from this instance, on owned and borrowed slots. */
  inFlight: number;
  /** Owned slots that peers hold. */
  lentSlots: number;
  consecutiveFailures: number;
  lastSuccessMs: number;
  ejectedUntilMs: number;
  ejections: number;
  probeInFlight: boolean;
}

/** A slot of an upstream that a peer lent. */
export interface BorrowedSlot {
  readonly upstreamId: string;
  readonly lender: string;
}

/** A peer's wish for slots, which stands for a moment. */
export interface LoanRequest {
  readonly slot: string;
  slots: number;
  lent: number;
  readonly receivedAtMs: number;
  readonly nextRunMs: number;
  readonly expectedMs: number;
  readonly urgency: number;
  readonly tasksLeft: number;
  readonly expiresAtMs: number;
}

/** Slots lent to one peer within one step. */
export interface Loan {
  readonly slot: string;
  readonly service: string;
  readonly upstreamIds: string[];
}

/** One peer as this instance sees it. */
export interface Peer extends Slot {
  incarnation: number | null;
  lastHeardMs: number;
  /** Its connection closed, or it left, and it was not heard from since. */
  lost: boolean;
  virgin: boolean;
  leaving: boolean;
  ready: boolean;
  configurationVersion: number;
  membershipVersion: number;
  loads: ServiceLoad[];
  /** Slots lent to it, by upstream. */
  readonly lent: Map<string, number>;
  lastLentMs: number;
  /** Failures in a row that it saw, by upstream. */
  suspects: ReadonlyMap<string, number>;
  /** A wish for slots stands there until then. */
  askedUntilMs: number;
  /** How often it sends heartbeats here. */
  periodMs: number;
  nextHeartbeatMs: number;
}

/** A claim this instance remembers as registrar. */
export interface ClaimRecord {
  readonly key: string;
  payloadHash: string;
  jobId: string;
  holder: InstanceRef;
  state: "claimed" | "sealed" | "released";
  recordedAtMs: number;
  /** Holds for a witness: the owner granted the same holder. */
  ownerConfirmed: boolean;
  answer: Answer | null;
}

/** This instance's part in one claim group. */
export interface GroupState extends ClaimGroup {
  readonly role: GroupRole;
  partner: InstanceRef | null;
  /** Keys that can be older than this are sealed, not granted. */
  formedAtMs: number;
  /** Keys that can be older than this are beyond this instance's memory. */
  memorySinceMs: number;
  /** The last partner handed over everything it knew before it left. */
  cleanHandover: boolean;
  /** Incarnations of the partner up to this one have left. */
  departedIncarnation: number;
  /** This instance has its partner's records, or has always had its own. */
  hasRecords: boolean;
  /** Parts of a handover under way that arrived without a gap. */
  handoverParts: number;
  readonly records: Map<string, ClaimRecord>;
}

/** A flow: one team's work of one kind. */
export interface Flow {
  readonly flow: string;
  readonly service: string;
  /** Jobs with tasks that were not sent yet, oldest first. */
  readonly waiting: Job[];
  queuedTasks: number;
  inFlight: number;
  readonly runs: RunEstimate;
  /** Learned usual slots wanted by this flow, on this instance. */
  usualSlots: number;
  /** Jobs that arrived since the last sample, refused ones too. */
  arrivals: number;
  /** Learned usual arrivals in one sample. */
  usualArrivals: number;
  /** Arrivals in one sample, over the last second or so. */
  recentArrivals: number;
  samples: number;
}

/** Counters, for the state dump and metrics. */
export interface Counters {
  jobsAccepted: number;
  jobsComplete: number;
  jobsFailed: number;
  jobsRefused: number;
  jobsUnknown: number;
  tasksSent: number;
  sendsNotRun: number;
  sendsUnknown: number;
  answersUnmatched: number;
  claimsSealed: number;
  claimsTaken: number;
  borrowsAsked: number;
  borrowsEmpty: number;
  peerMessagesSent: number;
  messagesMalformed: number;
}

/** The whole state of one entry instance. */
export interface CoreState {
  readonly self: Slot & InstanceRef;
  readonly bornAtMs: number;
  readonly slots: readonly Slot[];
  readonly guards: Guards;
  nowMs: number;
  wallMs: number;
  virgin: boolean;
  random: RandomGenerator;
  sequence: number;
  readonly peers: Map<string, Peer>;
  readonly groups: Map<string, GroupState>;
  readonly jobs: Map<string, Job>;
  readonly jobsByKey: Map<string, string>;
  readonly claimsById: Map<string, string>;
  readonly attaches: Map<string, AttachWait>;
  readonly sends: Map<string, Send>;
  readonly upstreams: Map<string, Upstream>;
  readonly leavingUpstreams: Set<string>;
  /** The upstreams that this instance owns slots of, by service. */
  readonly owned: Map<string, Upstream[]>;
  /** The instances among which slots are shared now. */
  sharers: ReadonlySet<string>;
  readonly borrowed: Map<string, BorrowedSlot[]>;
  readonly loanRequests: Map<string, LoanRequest[]>;
  readonly borrowAskedAtMs: Map<string, number>;
  readonly flows: Map<string, Flow>;
  membershipVersion: number;
  document: ConfigurationDocument | null;
  /** The patches that led to the latest versions, by the version reached. */
  readonly patches: Map<number, PeerMessageOf<"configurationDelta">>;
  configuration: Configuration | null;
  drain: "none" | "draining" | "drained";
  drainSinceMs: number;
  lastTickMs: number;
  lastShareSampleMs: number;
  lastExpiryMs: number;
  roundRobinNext: number;
  readonly counters: Counters;
}

/** A question about a job that another instance holds. */
export interface AttachWait {
  readonly attachId: string;
  readonly target: string;
  readonly team: string;
  readonly firstAskedAtMs: number;
  askedAtMs: number;
  /** The job of ours that turned out to be held elsewhere, if any. */
  readonly jobId: string | null;
  readonly requestId: string | null;
  readonly holderJobId: string;
  readonly wait: boolean;
}

/** Collects the effects of one event. */
export interface Step {
  readonly state: CoreState;
  readonly effects: Effect[];
  /** Messages of this instance to itself, handled within the same step. */
  readonly toSelf: PeerMessage[];
  /** Loans of this step that were not sent yet, by peer and service. */
  readonly loans: Map<string, Loan>;
}
