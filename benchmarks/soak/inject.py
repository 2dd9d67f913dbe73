"""Injects the faults of a plan into a running deployment and removes them again."""

from __future__ import annotations

import asyncio
import signal
from functools import singledispatch

from benchmarks.soak.history import LeavingMark
from benchmarks.soak.proxy import Proxy
from benchmarks.soak.schedule import (
    ChangeConfiguration,
    Fault,
    LinkFault,
    LinkKind,
    OnInstance,
    OnLink,
    OnStore,
    OnUpstream,
    SignalFault,
    Step,
    StoreFault,
    UpstreamAct,
)
from benchmarks.soak.world import (
    DRAIN_S,
    EXIT_SLACK_S,
    GRACE_S,
    InstanceProcess,
    UpstreamPart,
    World,
)

DELAY_S = 0.15
SLOW_STORE_S = 0.3
LOST_REPLIES = 5
LEAVING_S = DRAIN_S + 2.5
"""How long a leaving upstream keeps serving. It must exceed the time after which no
request may reach it, or the check of that limit could never fail."""

LAPSE_DOWN_S = 1.5
RETURN_S = 1.8
"""Upstreams write lapsed entries again within two seconds of the store's recovery;
the delay stays a little below that."""

MILLISECONDS = 1000


async def play(world: World) -> None:
    """Inject every step of the plan at its time and wait until all faults have ended.

    Steps that overlap run concurrently.
    """
    begins = world.now()
    running = []
    for step in world.plan.steps:
        await asyncio.sleep(max(0.0, begins + step.at_s - world.now()))
        task = asyncio.create_task(inject(step.fault, world, step))
        world.tasks.add(task)
        running.append(task)
    await asyncio.gather(*running)


@singledispatch
async def inject(fault: Fault, world: World, step: Step) -> None:
    """Inject one fault, keep it for the step's duration and remove it."""
    raise NotImplementedError(f"fault={fault!r} is not supported")


@inject.register
async def change_configuration(
    fault: ChangeConfiguration, world: World, step: Step
) -> None:
    """Write the next configuration version unless the store is down."""
    if not world.store.store.faults.down:
        world.write_configuration()


@inject.register
async def signal_instance(fault: OnInstance, world: World, step: Step) -> None:
    """Send a signal to an instance, and restart its process if it ended."""
    instance = world.instances[fault.index]
    if not instance.is_running:
        return
    if fault.how is SignalFault.RELOAD:
        # A process that is still starting may not have its SIGHUP handler yet.
        if await world.is_ready(instance):
            instance.signal(signal.SIGHUP)
        return
    disturbance = world.disturb(instance.name, fault.how.value)
    match fault.how:
        case SignalFault.PAUSE:
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(step.for_s)
            instance.signal(signal.SIGCONT)
        case SignalFault.KILL:
            await instance.end()
            await restart(world, instance, step.for_s)
        case SignalFault.STOP:
            await stop(world, instance)
            await restart(world, instance, step.for_s)
    disturbance.ends = world.now()


async def stop(world: World, instance: InstanceProcess) -> None:
    """Send SIGTERM, and record an exit that is late or reports an error.

    It is recorded only if the instance was ready and no other fault disturbed it.
    """
    process, begins = instance.process, world.now()
    assert process is not None
    was_ready = await world.is_ready(instance)
    instance.is_expected_to_end = True
    instance.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S + EXIT_SLACK_S):
            await process.wait()
    except TimeoutError:
        pass
    is_calm = was_ready and not world.history.disturbed(
        instance.name, begins, world.now(), without=SignalFault.STOP
    )
    if process.returncode is None:
        if is_calm:
            world.note_exit(instance, "did not exit in time after SIGTERM")
        instance.signal(signal.SIGCONT)
        await instance.end()
    elif process.returncode != 0 and is_calm:
        world.note_exit(instance, "exited with an error after SIGTERM")


async def restart(world: World, instance: InstanceProcess, after_s: float) -> None:
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
    await world.wait_ready(instance)


@inject.register
async def harm_link(fault: OnLink, world: World, step: Step) -> None:
    """Apply a fault to a link for the step's duration."""
    if fault.link is LinkKind.UPSTREAM:
        part = world.upstreams[fault.index]
        link, subject = part.link, part.standin.part
    else:
        instance = world.instances[fault.index]
        subject = instance.name
        is_store = fault.link is LinkKind.STORE
        link = instance.store_link if is_store else instance.callers_link
    disturbance = world.disturb(subject, f"{fault.link.value} {fault.how.value}")
    begin_harm(link, fault.how)
    await asyncio.sleep(step.for_s)
    link.restore()
    disturbance.ends = world.now()


def begin_harm(link: Proxy, how: LinkFault) -> None:
    """Start a fault on a link."""
    match how:
        case LinkFault.DELAY:
            link.up.delay_s = link.down.delay_s = DELAY_S
        case LinkFault.RESET:
            link.reset_all()
        case LinkFault.CUT_UP:
            link.silence(link.up)
        case LinkFault.CUT_DOWN:
            link.silence(link.down)
        case LinkFault.SILENCE:
            link.silence(link.up, link.down)


@inject.register
async def harm_store(fault: OnStore, world: World, step: Step) -> None:
    """Apply a fault to the store for the step's duration."""
    standin, faults = world.store, world.store.store.faults
    disturbance = world.disturb("store", fault.how.value)
    match fault.how:
        case StoreFault.DOWN:
            faults.down = True
        case StoreFault.SLOW:
            faults.delay_s = SLOW_STORE_S
        case StoreFault.SILENT:
            standin.faults.silent = True
        case StoreFault.DEAF:
            standin.faults.suppress_changes = True
        case StoreFault.LOST_REPLIES:
            faults.lose_replies = LOST_REPLIES
        case StoreFault.LOST_HISTORY:
            standin.faults.oldest_revision = standin.store.revision + 1
        case StoreFault.LAPSE:
            faults.down = True
            await asyncio.sleep(LAPSE_DOWN_S)
            for part in world.upstreams:
                if part.key in standin.store.values:
                    standin.store.write(part.key, None)
    await asyncio.sleep(step.for_s)
    faults.down, faults.delay_s, faults.lose_replies = False, 0.0, 0
    standin.faults.silent = standin.faults.suppress_changes = False
    if fault.how is StoreFault.LAPSE:
        await asyncio.sleep(world.rng.uniform(0.0, RETURN_S))
        for part in world.upstreams:
            world.write_entry(part)
    disturbance.ends = world.now()


@inject.register
async def harm_upstream(fault: OnUpstream, world: World, step: Step) -> None:
    """Let an upstream die, move, leave, shed or fail, then restore it.

    A fault that takes the upstream down is skipped while another one does so.
    """
    part = world.upstreams[fault.index]
    is_end = fault.how not in (UpstreamAct.SHED, UpstreamAct.FAIL)
    if is_end and part.is_ending:
        return
    disturbance = world.disturb(part.standin.part, fault.how.value)
    match fault.how:
        case UpstreamAct.SHED:
            part.standin.sheds = True
            await asyncio.sleep(step.for_s)
            part.standin.sheds = False
        case UpstreamAct.FAIL:
            part.standin.fails = True
            await asyncio.sleep(step.for_s)
            part.standin.fails = False
        case _:
            part.is_ending = True
            if fault.how is UpstreamAct.LEAVE:
                await leave(world, part)
            await end_and_return(fault, world, part, step.for_s)
            part.is_ending = False
    disturbance.ends = world.now()


async def leave(world: World, part: UpstreamPart) -> None:
    """Mark an upstream as leaving and keep it serving for a while."""
    part.state = "draining"
    world.write_entry(part)
    mark = LeavingMark(part.standin.part, world.now())
    world.history.leavings.append(mark)
    await asyncio.sleep(LEAVING_S)


async def end_and_return(
    fault: OnUpstream, world: World, part: UpstreamPart, away_s: float
) -> None:
    """Take an upstream down, and start it or a different one at the same address."""
    part.link.refuses = True
    part.link.reset_all()
    part.is_there = False
    await asyncio.sleep(away_s)
    world.write_entry(part)
    part.life += 1
    if fault.how is UpstreamAct.MOVE:
        part.standin.name = f"u{part.index}-{part.life}"
    part.born += MILLISECONDS * int(fault.clock_step_s) + part.life
    part.standin.restart(part.born)
    part.state, part.is_there, part.link.refuses = "ready", True, False
    world.write_entry(part)
