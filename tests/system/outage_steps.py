"""Steps on daemons that start while the platform is down."""

from json import loads

from behave import then
from behave import when


@when("the platform goes down")
def stop_platform(context):
    context.testbed.platform.is_down = True


@when('"{name}" is killed and started again')
def restart_balancer(context, name):
    context.run(context.testbed.kill(name))
    number = int(name.rpartition("-")[2])
    context.run(context.testbed.start_balancer(number))


@then('"{name}" serves at version {version:d}')
def check_version(context, name, version):
    status = loads(context.run(context.testbed.read_status(name)))
    assert status["ready"] and status["version"] == version, status


@when("the other balancers die")
def kill_others(context):
    for name in ("balancer-1", "balancer-3"):
        context.run(context.testbed.kill(name))
