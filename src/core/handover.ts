/**
 * Handing claim records to the other member of a group: when this instance
 * leaves, and when the partner is new.
 */

import type { ClaimRecordCopy, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { ClaimRecord, CoreState, GroupState, Step } from "./types.ts";
import { holds, partnerSlot } from "./registrar.ts";
import { sendPeer } from "./utilities.ts";

/** How many records one handover message carries. */
export const HANDOVER_PART_RECORDS = 200;

/** Sends the group's records to the partner, oldest first, in parts. */
export function sendRecords(
  step: Step,
  group: GroupState,
  leaving: boolean,
): void {
  const { state } = step;
  const records = [...group.records.values()].map((record) =>
    copyRecord(state, record)
  );
  const parts = Math.max(1, Math.ceil(records.length / HANDOVER_PART_RECORDS));
  for (let part = 0; part < parts; part += 1) {
    const start = part * HANDOVER_PART_RECORDS;
    sendPeer(step, partnerSlot(group), {
      type: "handover",
      group: group.group,
      part,
      parts,
      records: records.slice(start, start + HANDOVER_PART_RECORDS),
      formedAgeMs: finiteOrNull(state.nowMs - group.formedAtMs),
      memoryAgeMs: finiteOrNull(state.nowMs - group.memorySinceMs),
      leaving,
    });
  }
}

function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? value : null;
}

function momentOf(state: CoreState, ageMs: number | null): number {
  return ageMs === null ? -Infinity : state.nowMs - ageMs;
}

function copyRecord(state: CoreState, record: ClaimRecord): ClaimRecordCopy {
  return {
    key: record.key,
    payloadHash: record.payloadHash,
    jobId: record.jobId,
    holder: record.holder,
    state: record.state,
    ageMs: state.nowMs - record.recordedAtMs,
    ...(record.answer === null ? {} : { answer: record.answer }),
  };
}

/** Takes over records from the partner: it leaves, or this instance is new. */
export function onHandover(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"handover">,
): void {
  const { state } = step;
  const group = state.groups.get(message.group);
  if (group === undefined || partnerSlot(group) !== from.slot) return;
  if (from.incarnation <= group.departedIncarnation) return;
  for (const copy of message.records) mergeRecord(state, group, copy);
  // A lost part leaves a gap: the rest may be used, but proves nothing.
  const next = message.part === 0 ? 0 : group.handoverParts;
  group.handoverParts = message.part === next ? next + 1 : 0;
  if (group.handoverParts !== message.parts) return;
  if (message.leaving) {
    const paired = group.partner?.incarnation === from.incarnation;
    group.cleanHandover = paired;
    group.departedIncarnation = from.incarnation;
    group.partner = null;
    return;
  }
  group.hasRecords = true;
  const memoryMs = momentOf(state, message.memoryAgeMs);
  const formedMs = momentOf(state, message.formedAgeMs);
  group.memorySinceMs = Math.min(group.memorySinceMs, memoryMs);
  group.formedAtMs = Math.min(group.formedAtMs, formedMs);
}

/** The groups whose records this instance still lacks, for heartbeats. */
export function groupsWithoutRecords(state: CoreState): string[] {
  return [...state.groups.values()]
    .filter((group) => !group.hasRecords)
    .map((group) => group.group);
}

/** Sends records again to a partner that says it lacks them. */
export function onRecordsLacked(
  step: Step,
  from: InstanceRef,
  names: readonly string[],
): void {
  for (const name of names) {
    const group = step.state.groups.get(name);
    if (group?.partner?.incarnation !== from.incarnation) continue;
    if (partnerSlot(group) === from.slot) sendRecords(step, group, false);
  }
}

/** Hands every group over before this instance leaves, and forgets them. */
export function handOverGroups(step: Step): void {
  const { state } = step;
  for (const group of state.groups.values()) sendRecords(step, group, true);
  state.groups.clear();
}

function mergeRecord(
  state: CoreState,
  group: GroupState,
  copy: ClaimRecordCopy,
): void {
  const known = group.records.get(copy.key);
  const agrees = known === undefined ||
    (known.state === copy.state && holds(known, copy.holder, copy.jobId));
  // Members that disagree on a key cannot both have granted it, so it was not
  // started in this group: sealing it is safe whichever was right.
  group.records.set(copy.key, {
    key: copy.key,
    payloadHash: copy.payloadHash,
    jobId: copy.jobId,
    holder: copy.holder,
    state: agrees ? copy.state : "sealed",
    recordedAtMs: state.nowMs - copy.ageMs,
    ownerConfirmed: true,
    answer: copy.answer ?? known?.answer ?? null,
  });
}
