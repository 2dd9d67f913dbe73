"""Injects the faults of a plan into a running deployment and removes them again."""

from __future__ import annotations

import asyncio
import random
import signal
from functools import singledispatch

from benchmarks.soak.deployment import (
    DRAIN_LIMIT_S,
    EXIT_SLACK_S,
    STOP_GRACE_S,
    DeployedUpstream,
    Deployment,
    InstanceProcess,
    UpstreamLinks,
)
from benchmarks.soak.history import Cut, Disturbance, LeavingMark, LimitSpan
from benchmarks.soak.proxy import Proxy
from benchmarks.soak.schedule import (
    CONNECTION_LOSSES,
    SOUND_KINDS,
    ChangeConfiguration,
    CutFault,
    Fault,
    InstanceFault,
    InstanceFaultKind,
    LinkFault,
    LinkFaultKind,
    LinkKind,
    Step,
    StoreFault,
    StoreFaultKind,
    UpstreamFault,
    UpstreamFaultKind,
)

LINK_DELAY_S = 0.15
"""Delay that a slow link adds in each direction."""
STORE_DELAY_S = 0.3
"""Delay that a slow store adds to each call."""
LOST_REPLY_COUNT = 5
"""Number of writes that a store with lost replies applies without replying."""
LEAVE_DURATION_S = DRAIN_LIMIT_S + 2.5
"""How long a leaving upstream keeps serving. It must exceed the time after which no
request may reach it, or the check of that limit could never fail."""

UNLISTED_LEAVE_SHARE = 0.3
"""Share of the upstreams that leave without telling the store."""

LAPSE_OUTAGE_S = 1.5
"""Time for which the store is down before the upstreams' entries lapse."""
MAX_RETURN_DELAY_S = 1.8
"""Upstreams write lapsed entries again within two seconds of the store's recovery;
the delay stays a little below that."""

CRASH_DOWNTIME_S = 1.0
"""Seconds until an upstream that a request has crashed is back."""

ASKED_PAUSE_S = 2.0
NAMED_LIMIT_PER_S = 2.0
"""Limit that an upstream names: a part of what it gets otherwise."""

MS_PER_SECOND = 1000


async def inject_plan(deployment: Deployment) -> None:
    """Inject every step of the plan at its time and wait until all faults have ended.

    Steps that overlap run concurrently.
    """
    started_at = deployment.now()
    for upstream in deployment.upstreams:
        crash_on_requests(deployment, upstream)
    running = []
    for step in deployment.plan.steps:
        await asyncio.sleep(max(0.0, started_at + step.at_s - deployment.now()))
        task = asyncio.create_task(inject(step.fault, deployment, step))
        deployment.tasks.add(task)
        running.append(task)
    await asyncio.gather(*running)


@singledispatch
async def inject(fault: Fault, deployment: Deployment, step: Step) -> None:
    """Inject one fault, keep it for the step's duration and remove it."""
    raise NotImplementedError(f"fault={fault!r} is not supported")


@inject.register
async def change_configuration(
    fault: ChangeConfiguration, deployment: Deployment, step: Step
) -> None:
    """Write the next configuration version unless the store is down."""
    if not deployment.store.store.faults.down:
        deployment.write_configuration()


@inject.register
async def signal_instance(
    fault: InstanceFault, deployment: Deployment, step: Step
) -> None:
    """Send a signal to an instance, and restart its process if it ended."""
    instance = deployment.instances[fault.index]
    if not instance.is_running:
        return
    if fault.kind is InstanceFaultKind.RELOAD:
        # A process that is still starting may not have its SIGHUP handler yet.
        if await deployment.is_ready(instance):
            instance.send_signal(signal.SIGHUP)
        return
    disturbance = deployment.record_disturbance(instance.name, fault.kind.value)
    match fault.kind:
        case InstanceFaultKind.PAUSE:
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.duration_s)
            instance.send_signal(signal.SIGCONT)
        case InstanceFaultKind.KILL:
            await instance.kill()
            await restart_instance(deployment, instance, step.duration_s)
        case InstanceFaultKind.STOP:
            await stop(deployment, instance)
            await restart_instance(deployment, instance, step.duration_s)
    disturbance.ends = deployment.now()


async def stop(deployment: Deployment, instance: InstanceProcess) -> None:
    """Send SIGTERM, and record an exit that is late or reports an error.

    It is recorded only if the instance was ready and no other fault disturbed it.
    """
    process, begins = instance.process, deployment.now()
    assert process is not None
    was_ready = await deployment.is_ready(instance)
    instance.is_exit_expected = True
    instance.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_GRACE_S + EXIT_SLACK_S):
            await process.wait()
    except TimeoutError:
        pass
    is_undisturbed = was_ready and not deployment.history.was_disturbed(
        instance.name, begins, deployment.now(), excluded=InstanceFaultKind.STOP
    )
    if process.returncode is None:
        if is_undisturbed:
            deployment.record_exit(instance, "did not exit in time after SIGTERM")
        instance.send_signal(signal.SIGCONT)
        await instance.kill()
    elif process.returncode != 0 and is_undisturbed:
        deployment.record_exit(instance, "exited with an error after SIGTERM")


async def restart_instance(
    deployment: Deployment, instance: InstanceProcess, after_s: float
) -> None:
    """Start a process again after a delay and wait until it is ready.

    Returns at once if another fault is already restarting the process.
    """
    if instance.is_restarting:
        return
    instance.is_restarting = True
    await asyncio.sleep(after_s)
    if not instance.is_running:
        await instance.start()
    instance.is_restarting = False
    await deployment.wait_until_ready(instance)


@inject.register
async def inject_link_fault(
    fault: LinkFault, deployment: Deployment, step: Step
) -> None:
    """Apply a fault to a link for the step's duration."""
    if fault.link is LinkKind.UPSTREAM:
        upstream = deployment.upstreams[fault.index]
        subject = upstream.standin.stable_name
        link: Proxy | UpstreamLinks = upstream.links
    else:
        instance = deployment.instances[fault.index]
        subject = instance.name
        is_store = fault.link is LinkKind.STORE
        link = instance.store_link if is_store else instance.caller_link
    disturbance = deployment.record_disturbance(
        subject, f"{fault.link.value} {fault.kind.value}"
    )
    apply_link_fault(link, fault.kind)
    await asyncio.sleep(step.duration_s)
    if fault.kind in CONNECTION_LOSSES:
        # What is sent after it is sound, and what else disturbs the link goes on.
        disturbance.settle_s = 0.0
    else:
        link.restore()
    disturbance.ends = deployment.now()


def apply_link_fault(link: Proxy | UpstreamLinks, kind: LinkFaultKind) -> None:
    """Start a fault on a link; all but a reset last until the link is restored."""
    match kind:
        case LinkFaultKind.DELAY:
            link.up.delay_s = link.down.delay_s = LINK_DELAY_S
        case LinkFaultKind.RESET:
            link.reset_connections()
        case LinkFaultKind.CUT_UP:
            link.block(link.up)
        case LinkFaultKind.CUT_DOWN:
            link.block(link.down)
        case LinkFaultKind.SILENCE:
            link.block(link.up, link.down)
        case LinkFaultKind.LOSE:
            link.silence_open_connections()
        case LinkFaultKind.RESET_NEAR:
            link.reset_near_ends()


@inject.register
async def cut_instances(fault: CutFault, deployment: Deployment, step: Step) -> None:
    """Cut instances off from all upstreams for the step's duration."""
    names = frozenset(deployment.instances[index].name for index in fault.indexes)
    links = [
        link
        for upstream in deployment.upstreams
        for name, link in upstream.links.links.items()
        if name in names
    ]
    cut = Cut(names, deployment.now())
    deployment.history.cuts.append(cut)
    for link in links:
        link.cut(fault.kind)
    await asyncio.sleep(step.duration_s)
    for link in links:
        await link.end_cut()
    cut.ends = deployment.now()


@inject.register
async def inject_store_fault(
    fault: StoreFault, deployment: Deployment, step: Step
) -> None:
    """Apply a fault to the store for the step's duration.

    With `LAPSE` the store is first down until the upstreams' entries lapse. The
    upstreams write them again some time after the outage.
    """
    standin, faults = deployment.store, deployment.store.store.faults
    disturbance = deployment.record_disturbance("store", fault.kind.value)
    match fault.kind:
        case StoreFaultKind.DOWN:
            faults.down = True
        case StoreFaultKind.SLOW:
            faults.delay_s = STORE_DELAY_S
        case StoreFaultKind.SILENT:
            standin.faults.silent = True
        case StoreFaultKind.DEAF:
            standin.faults.suppress_changes = True
        case StoreFaultKind.LOST_REPLIES:
            faults.lose_replies = LOST_REPLY_COUNT
        case StoreFaultKind.LOST_HISTORY:
            standin.faults.oldest_revision = standin.store.revision + 1
        case StoreFaultKind.LAPSE:
            faults.down = True
            await asyncio.sleep(LAPSE_OUTAGE_S)
            for upstream in deployment.upstreams:
                if upstream.key in standin.store.values:
                    standin.store.write(upstream.key, None)
    await asyncio.sleep(step.duration_s)
    faults.down, faults.delay_s, faults.lose_replies = False, 0.0, 0
    standin.faults.silent = standin.faults.suppress_changes = False
    if fault.kind is StoreFaultKind.LAPSE:
        await asyncio.sleep(deployment.rng.uniform(0.0, MAX_RETURN_DELAY_S))
        for upstream in deployment.upstreams:
            deployment.write_entry(upstream)
    disturbance.ends = deployment.now()


@inject.register
async def inject_upstream_fault(
    fault: UpstreamFault, deployment: Deployment, step: Step
) -> None:
    """Let an upstream die, move, leave, shed or fail, then restore it.

    A fault that takes the upstream down is skipped while another one does so. A pause
    or a limit is no disturbance: the upstream is sound.
    """
    upstream = deployment.upstreams[fault.index]
    if fault.kind in SOUND_KINDS:
        await slow_down(fault.kind, deployment, upstream, step.duration_s)
        return
    is_shutdown = fault.kind not in (UpstreamFaultKind.SHED, UpstreamFaultKind.FAIL)
    if is_shutdown and upstream.is_shutting_down:
        return
    disturbance = deployment.record_disturbance(
        upstream.standin.stable_name, fault.kind.value
    )
    match fault.kind:
        case UpstreamFaultKind.SHED:
            upstream.standin.is_shedding = True
            await asyncio.sleep(step.duration_s)
            upstream.standin.is_shedding = False
        case UpstreamFaultKind.FAIL:
            upstream.standin.is_failing = True
            await asyncio.sleep(step.duration_s)
            upstream.standin.is_failing = False
        case _:
            upstream.is_shutting_down = True
            if fault.kind is UpstreamFaultKind.LEAVE:
                await drain_upstream(deployment, upstream)
            await restart_upstream(fault, deployment, upstream, step.duration_s)
            upstream.is_shutting_down = False
    disturbance.ends = deployment.now()


def crash_on_requests(deployment: Deployment, upstream: DeployedUpstream) -> None:
    """Have an upstream die whenever it begins to answer a request that crashes it.

    After the end by a call another upstream may come up at its address.
    """
    history, plan = deployment.history, deployment.plan
    rng = random.Random(f"soak/{plan.seed}/crashes/{upstream.index}")

    def crash(by_call: bool) -> None:
        fault = UpstreamFault(upstream.index, UpstreamFaultKind.DIE)
        if upstream.is_shutting_down:
            return
        if by_call:
            kind = rng.choice((UpstreamFaultKind.DIE, UpstreamFaultKind.MOVE))
            fault = UpstreamFault(upstream.index, kind, is_silent=plan.are_ends_silent)
        (history.call_crashes if by_call else history.crashes).append(deployment.now())
        step = Step(0.0, CRASH_DOWNTIME_S, fault)
        deployment.tasks.add(asyncio.create_task(inject(fault, deployment, step)))

    upstream.standin.on_crash = crash


async def slow_down(
    kind: UpstreamFaultKind,
    deployment: Deployment,
    upstream: DeployedUpstream,
    duration_s: float,
) -> None:
    """Let an upstream pause, ask for pauses or name a limit.

    One that does so already goes on.
    """
    standin = upstream.standin
    if kind is UpstreamFaultKind.ASK_PAUSE:
        if standin.pause is None:
            standin.pause = str(ASKED_PAUSE_S)
            await asyncio.sleep(duration_s)
            standin.pause = None
        return
    if kind is UpstreamFaultKind.PAUSE:
        pause = Disturbance(standin.stable_name, kind.value, deployment.now())
        deployment.history.pauses.append(pause)
        standin.is_unpaused.clear()
        await asyncio.sleep(duration_s)
        standin.is_unpaused.set()
        pause.ends = deployment.now()
    elif standin.send_limit is None:
        span = LimitSpan(standin.stable_name, deployment.now(), NAMED_LIMIT_PER_S)
        deployment.history.limits.append(span)
        standin.send_limit = str(NAMED_LIMIT_PER_S)
        await asyncio.sleep(duration_s)
        standin.send_limit, span.ends = None, deployment.now()


async def drain_upstream(deployment: Deployment, upstream: DeployedUpstream) -> None:
    """Let an upstream say that it leaves, and keep it serving for a while.

    All its answers say so. Some upstreams do not write it to the store.
    """
    upstream.standin.is_leaving = True
    # A generator of its own, so that the other draws of a seed stay as they were.
    rng = random.Random(
        f"soak/{deployment.plan.seed}/leave/{upstream.key}/{upstream.incarnation}"
    )
    if rng.random() >= UNLISTED_LEAVE_SHARE:
        upstream.state = "draining"
        deployment.write_entry(upstream)
        mark = LeavingMark(upstream.standin.stable_name, deployment.now())
        deployment.history.leavings.append(mark)
    await asyncio.sleep(LEAVE_DURATION_S)


async def restart_upstream(
    fault: UpstreamFault,
    deployment: Deployment,
    upstream: DeployedUpstream,
    downtime_s: float,
) -> None:
    """Take an upstream down, and start it or a different one at the same address.

    Its entry is deleted from the store only at the end of the downtime.
    """
    upstream.is_up = False
    if fault.is_silent:
        upstream.links.fall_silent()
        upstream.standin.end_runs()
        await asyncio.sleep(downtime_s)
        upstream.links.end_silence()
    else:
        upstream.links.refuse()
        upstream.standin.end_runs()
        await asyncio.sleep(downtime_s)
    deployment.write_entry(upstream)
    upstream.incarnation += 1
    if fault.kind is UpstreamFaultKind.MOVE:
        upstream.standin.name = f"u{upstream.index}-{upstream.incarnation}"
        upstream.standin.version = deployment.plan.version_of(upstream.incarnation)
    # `born` identifies the incarnation, so it must change without a clock step too.
    upstream.born += MS_PER_SECOND * int(fault.clock_step_s) + upstream.incarnation
    upstream.standin.restart(upstream.born)
    await upstream.links.listen()
    upstream.state, upstream.is_up = "ready", True
    deployment.write_entry(upstream)
