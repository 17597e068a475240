"""Identifiers, each of a distinct type so that mypy finds mix-ups."""

from typing import NewType

HostName = NewType('HostName', str)
DataCentre = NewType('DataCentre', str)
TeamName = NewType('TeamName', str)
QueueName = NewType('QueueName', str)
ServiceName = NewType('ServiceName', str)
KeyId = NewType('KeyId', str)
ChangeId = NewType('ChangeId', str)
JobId = NewType('JobId', str)
RequestId = NewType('RequestId', str)
WorkerId = NewType('WorkerId', str)
TargetId = NewType('TargetId', str)
GatewayId = NewType('GatewayId', str)
AttemptId = NewType('AttemptId', str)
TaskKey = NewType('TaskKey', str)
ReplicaId = NewType('ReplicaId', str)
GroupName = NewType('GroupName', str)
