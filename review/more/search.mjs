/**
 * Plays random recorded jobs while one disruption after another is made, and
 * checks the rules on jobs. Usage: node review/more/search.mjs KIND [SECONDS].
 * The kinds are the keys of `kinds`; the record goes to a file search-*.txt in the
 * folder for temporary files.
 */

import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep, waitFor } from "../lib/time.mjs";
import { writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const KIND = process.argv[2];
const SECONDS = Number(process.argv[3] ?? 25);
const RATE = Number(process.env.RATE ?? 12);
const ATTEMPTS = 2;
const INSTANCES = Number(process.env.INSTANCES ?? 4);
const EXECUTORS = Number(process.env.EXECUTORS ?? 6);
const CPU = 32_000;
const started = performance.now();
const lines = [];
const record = (text) =>
  lines.push(`${((performance.now() - started) / 1000).toFixed(3)} ${text}`);
const needsCut = KIND.startsWith("cut");
const d = await startDeployment({
  record,
  instances: INSTANCES,
  executors: EXECUTORS,
  cpu: CPU,
  attempts: ATTEMPTS,
  canCut: needsCut,
});
const jobs = new Map();
const pick = (n) => Math.floor(Math.random() * n);
const down = new Set();
const leader = () => d.leader();
const other = (not) => (not + 1 + pick(INSTANCES - 1)) % INSTANCES;

async function restartLater(index, ms) {
  await sleep(ms);
  d.restart(index);
  await waitFor(() => d.isReady(index), { limitMs: 10_000, everyMs: 100 });
  down.delete(index);
}
async function kill(index, ms = 1_500) {
  down.add(index);
  d.signal(index, "SIGKILL");
  await restartLater(index, ms);
}
async function freeze(index, ms = 4_000) {
  d.signal(index, "SIGSTOP");
  await sleep(ms);
  d.signal(index, "SIGCONT");
}
async function term(index) {
  const child = d.processOf(index);
  d.signal(index, "SIGTERM");
  down.add(index);
  await new Promise((r) => child.once("exit", r));
  record(`instance ${index} exited ${child.exitCode}`);
  await restartLater(index, 300);
}
async function crashExecutor(index, ms = 3_000) {
  record(`executor ${index + 1} crashes`);
  d.executors[index].crash();
  await sleep(ms);
  await d.startExecutor(index);
  record(`executor ${index + 1} is back`);
}
async function silentExecutor(index, ms = 3_000) {
  record(`executor ${index + 1} cut off`);
  d.executors[index].setSilent(true);
  await sleep(ms);
  d.executors[index].setSilent(false);
  record(`executor ${index + 1} reachable`);
}
async function lost(ms = 4_000) {
  d.store.loseAnswers(0.35);
  await sleep(ms);
  d.store.loseAnswers(0);
}
async function slow(ms = 4_000, x = 60) {
  d.store.slowDown(x);
  await sleep(ms);
  d.store.slowDown(1);
}
async function storeDown(which, ms = 4_000) {
  for (const i of which) d.store.refuse(i);
  await sleep(ms);
  for (const i of which) await d.store.restore(i);
}
async function cut(i, withStore, ms = 5_000) {
  d.network.cut(i);
  if (withStore) d.store.refuse(i);
  await sleep(ms);
  await d.network.heal(i);
  if (withStore) await d.store.restore(i);
}
const all = Array.from({ length: INSTANCES }, (_, i) => i);
async function share(setter, x, ms = 4_000) {
  record(`${setter} ${x}`);
  for (const e of d.executors) e[setter](x);
  await sleep(ms);
  for (const e of d.executors) e[setter](0);
  record(`${setter} 0`);
}
async function cutSilent(i, withStore, ms = 5_000) {
  d.network.setSilent(i, true);
  if (withStore) d.store.setSilent(i, true);
  await sleep(ms);
  d.network.setSilent(i, false);
  if (withStore) d.store.setSilent(i, false);
}
async function turn(i, ms) {
  d.store.turnAway(i);
  await sleep(ms);
  d.store.serve(i);
}
async function drainExecutor(i) {
  record(`executor ${i + 1} drains`);
  d.executors[i].drain();
  await sleep(4_000);
  await crashExecutor(i, 2_000);
}
const kinds = {
  none: () => sleep(3_000),
  kill: () => kill(leader()),
  killOther: () => kill(other(leader())),
  killAll: () => Promise.all(all.map((i) => kill(i, 1_000))),
  freeze: () => freeze(leader(), 1_000 + Math.random() * 3_000),
  term: () => term(leader()),
  roll: async () => {
    for (const i of all) await term(i);
  },
  crash: () => crashExecutor(pick(EXECUTORS)),
  silent: () => silentExecutor(pick(EXECUTORS)),
  lost: () => lost(),
  slow: () => slow(),
  storeDown: () => storeDown(all),
  storeLeader: () => storeDown([leader()]),
  cutPeersOnly: () => cut(leader(), false),
  cutOther: () => cut(other(leader()), true),
  late: () => share("setLateShare", 0.05),
  answer: () => share("setLostShare", 0.1),
  killSlow: () => Promise.all([slow(), sleep(300).then(() => kill(leader()))]),
  killSlow2: () =>
    Promise.all([
      slow(4_500, 83),
      sleep(200).then(() => kill(leader())),
      sleep(3_300).then(() => kill(leader())),
    ]),
  killDown2: () =>
    Promise.all([
      storeDown(all, 4_500),
      sleep(200).then(() => kill(leader())),
      sleep(5_000).then(() => kill(leader())),
    ]),
  termSlow: () =>
    Promise.all([slow(4_500, 83), sleep(200).then(() => term(leader()))]),
  termDown: () =>
    Promise.all([storeDown(all, 4_500), sleep(200).then(() => term(leader()))]),
  cutSilentLeader: () => cutSilent(leader(), true),
  cutSilentOther: () => cutSilent(other(leader()), true),
  cutSilentPeers: () => cutSilent(leader(), false),
  turnLeader: () => turn(leader(), 7_000),
  turnOther: () => turn(other(leader()), 9_000),
  killTurn: () => {
    const l = leader();
    return Promise.all([turn(other(l), 7_000), kill(l)]);
  },
  termTurn: () => {
    const l = leader();
    return Promise.all([turn(other(l), 7_000), term(l)]);
  },
  freezeTurn: () => {
    const l = leader();
    return Promise.all([turn(other(l), 7_000), freeze(l, 3_000)]);
  },
  freezeSlow: () =>
    Promise.all([slow(), sleep(300).then(() => freeze(leader(), 2_500))]),
  freezeCrash: () =>
    Promise.all([
      crashExecutor(pick(EXECUTORS)),
      sleep(pick(1500)).then(() => freeze(leader(), 2_500)),
    ]),
  freezeKill: () => {
    const l = leader();
    return Promise.all([
      freeze(l, 3_000),
      sleep(1_200).then(() => {
        const m = leader();
        if (m !== l) return kill(m);
      }),
    ]);
  },
  killAllSlow: () =>
    Promise.all([
      slow(4_500, 60),
      sleep(300).then(() => Promise.all(all.map((i) => kill(i, 1_000)))),
    ]),
  killAllDown: () =>
    Promise.all([
      storeDown(all, 4_500),
      sleep(300).then(() => Promise.all(all.map((i) => kill(i, 1_000)))),
    ]),
  killAllCrash: () =>
    Promise.all([
      crashExecutor(pick(EXECUTORS)),
      sleep(300).then(() => Promise.all(all.map((i) => kill(i, 1_000)))),
    ]),
  crashLost: () => Promise.all([lost(), crashExecutor(pick(EXECUTORS))]),
  silentLost: () => Promise.all([lost(), silentExecutor(pick(EXECUTORS))]),
  silent2: async () => {
    await silentExecutor(pick(EXECUTORS), 2_000);
    await silentExecutor(pick(EXECUTORS), 2_000);
  },
  drain: () => drainExecutor(pick(EXECUTORS)),
  killLost: () => Promise.all([lost(), sleep(300).then(() => kill(leader()))]),
  killLate: () =>
    Promise.all([
      share("setLateShare", 0.05),
      sleep(300).then(() => kill(leader())),
    ]),
  killAnswer: () =>
    Promise.all([
      share("setLostShare", 0.1),
      sleep(300).then(() => kill(leader())),
    ]),
  termLost: () => Promise.all([lost(), sleep(300).then(() => term(leader()))]),
  freezeLost: () =>
    Promise.all([lost(), sleep(300).then(() => freeze(leader(), 2_000))]),
  killCrash: () =>
    Promise.all([
      crashExecutor(pick(EXECUTORS)),
      sleep(pick(1500)).then(() => kill(leader())),
    ]),
  killDown: () =>
    Promise.all([
      storeDown(all, 3_000),
      sleep(300).then(() => kill(leader(), 4_000)),
    ]),
  killSilent: () =>
    Promise.all([
      silentExecutor(pick(EXECUTORS)),
      sleep(pick(1500)).then(() => kill(leader())),
    ]),
};

async function client() {
  const id = newJobId();
  const steps = 1 + pick(3);
  const ms = Array.from({ length: steps }, () => 20 + pick(600));
  const fails = Math.random() < 0.08;
  const job = {
    id,
    steps,
    fails,
    acceptedAt: null,
    cancelAckAt: null,
    cancelSentAt: null,
    attempts: [],
    gone: [],
    cpu: 2_000 + 1_000 * pick(14),
    counts: Array.from({ length: steps }, () => 1 + pick(3)),
  };
  jobs.set(id, job);
  const bestEffort = Math.random() < Number(process.env.BEST ?? 0);
  job.bestEffort = bestEffort;
  const body = jobBody({
    bestEffort,
    ms,
    end: fails ? "failed" : undefined,
    steps: job.counts.map((count, i) => ({
      count,
      cpu: job.cpu,
      mem_mb: 64,
      est_ms: ms[i],
      ...(i > 0 ? { after: [i - 1] } : {}),
    })),
  });
  for (let n = 0; n < 6 && job.acceptedAt === null; n++) {
    const a = await d.request(pick(INSTANCES), "POST", id, body, 3_000);
    job.attempts.push(a.status);
    if (a.status === 200) job.acceptedAt = performance.now();
    else if (a.status !== 0 && a.status !== 504 && a.status !== 502) break;
    else await sleep(1_300);
  }
  if (job.acceptedAt === null) return;
  if (Math.random() < 0.15) {
    await sleep(pick(600));
    job.cancelSentAt = performance.now();
    for (let n = 0; n < 8 && job.cancelAckAt === null; n++) {
      const a = await d.request(pick(INSTANCES), "DELETE", id);
      if (a.status === 200 || a.status === 410) {
        job.cancelAckAt = performance.now();
      } else await sleep(500);
    }
  }
  if (Math.random() < 0.1) {
    await sleep(2_000);
    await d.request(pick(INSTANCES), "POST", id, body, 3_000);
  }
  if (Math.random() < 0.4) {
    await sleep(pick(3_000));
    const a = await d.request(pick(INSTANCES), "GET", id, undefined, 3_000);
    if (a.status === 410) job.gone.push(performance.now() - job.acceptedAt);
  }
}

const clients = [];
const endAt = performance.now() + SECONDS * 1000;
let running = true;
const traffic = (async () => {
  while (running) {
    clients.push(client());
    await sleep(-Math.log(Math.random()) * 1000 / RATE);
  }
})();
await sleep(1_000);
while (performance.now() < endAt) {
  await kinds[KIND]();
  await sleep(2_000 + pick(2_000));
}
running = false;
await traffic;
await Promise.all(clients);
await sleep(6_000);
const breaches = [];
for (const { a, b, ms } of d.runs.overlaps()) {
  breaches.push(
    `TWICE overlap ${a.task} ${a.executor}#${a.run} ${b.executor}#${b.run} ${
      ms.toFixed(0)
    } ms`,
  );
}
const isKept = (r) => !jobs.get(r.task.split(".")[0]).bestEffort;
for (const r of d.runs.startsAfterDone().filter(isKept)) {
  breaches.push(`TWICE after done ${r.task} ${r.executor}#${r.run}`);
}
for (const r of d.runs.startsBeyondAttempts(ATTEMPTS).filter(isKept)) {
  breaches.push(`BUDGET ${r.task} ${r.executor}#${r.run}`);
}
const byTask = new Map();
for (const r of d.runs.runs) {
  if (!byTask.has(r.task)) byTask.set(r.task, []);
  byTask.get(r.task).push(r);
}
for (const job of jobs.values()) {
  const tasks = job.counts.flatMap((count, s) =>
    Array.from({ length: count }, (_, i) => `${job.id}.0.${s}.${i}`)
  );
  const startedAny = tasks.some((t) => byTask.has(t));
  const rejected = job.attempts.every((s) =>
    s === 429 || s === 503 || s === 404
  );
  if (rejected && startedAny) {
    breaches.push(`REFUSED ${job.id} ${job.attempts}`);
  }
  if (job.acceptedAt === null || job.bestEffort) continue;
  let state = null;
  for (let n = 0; n < 5; n++) {
    const a = await d.request(pick(INSTANCES), "GET", job.id, undefined, 3_000);
    state = `${a.status} ${a.content}`;
    if (a.status === 410 || /done|failed|cancelled/.test(a.content)) break;
    await sleep(500);
  }
  for (const r of d.runs.runs) {
    if (!byTask.get(r.task)?.includes(r)) {
      byTask.set(r.task, [...byTask.get(r.task) ?? [], r]);
    }
  }
  const allDone = tasks.every((t) =>
    byTask.get(t)?.some((r) => r.how === "done")
  );
  if (job.gone.length > 0) {
    breaches.push(`LOST 410 ${job.id} after ${job.gone}`);
  }
  if (job.cancelSentAt === null) {
    const want = job.fails ? "failed" : "done";
    if (!state.includes(want)) {
      breaches.push(`LOST ${job.id} wanted ${want} is ${state}`);
    }
    if (state.includes("done") && !allDone) breaches.push(`MIXED ${job.id}`);
  } else if (job.cancelAckAt !== null) {
    for (const t of tasks) {
      for (const r of byTask.get(t) ?? []) {
        if (r.startedAtMs > job.cancelAckAt + 3_000) {
          breaches.push(
            `UNASKED start ${t}#${r.run} ${r.executor} ${
              (r.startedAtMs - job.cancelAckAt).toFixed(0)
            }`,
          );
        }
        if (
          r.endedAtMs > job.cancelAckAt + 3_050 &&
          r.startedAtMs < job.cancelAckAt + 3_000
        ) breaches.push(`UNASKED runs on ${t}#${r.run} ${r.executor}`);
      }
    }
  }
  for (let s = 1; s < job.steps; s++) {
    for (const t of tasks.filter((x) => x.startsWith(`${job.id}.0.${s}.`))) {
      for (const r of byTask.get(t) ?? []) {
        const before = tasks.filter((x) =>
          x.startsWith(`${job.id}.0.${s - 1}.`)
        );
        const ok = before.every((x) =>
          byTask.get(x)?.some((q) =>
            q.how === "done" && q.endedAtMs <= r.startedAtMs
          )
        );
        if (!ok) breaches.push(`ORDER ${t}#${r.run}`);
      }
    }
  }
}
// Capacity: the sum of what runs on an executor at each start.
for (const r of d.runs.runs) {
  const at = r.startedAtMs;
  const used = d.runs.runs.filter((q) =>
    q.executor === r.executor && q.startedAtMs <= at && q.endedAtMs > at
  )
    .reduce((sum, q) => sum + jobs.get(q.task.split(".")[0]).cpu, 0);
  if (used > CPU) {
    breaches.push(`LIMIT ${r.executor} ${used} at ${r.task}#${r.run}`);
  }
}
for (const e of d.unexpectedEnds) breaches.push(`ENDED ${JSON.stringify(e)}`);
await d.close();
const accepted = [...jobs.values()].filter((j) => j.acceptedAt !== null).length;
const name = `${KIND}-${process.pid}`;
for (const b of breaches) lines.push(b);
writeFileSync(join(tmpdir(), `search-${name}.txt`), `${lines.join("\n")}\n`);
const counts = {};
for (const b of breaches) {
  const k = b.split(" ").slice(0, 2).join(" ").replace(/[0-9a-f]{16}.*/, "");
  counts[k] = (counts[k] ?? 0) + 1;
}
const text =
  `${name} jobs ${jobs.size} accepted ${accepted} runs ${d.runs.runs.length} ${
    JSON.stringify(counts)
  }`;
console.log(text);
process.exit(0);
