package setup

import (
	"strconv"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fleet"
)

// WorkerPath is the URL path prefix of the workers.
const WorkerPath = "/workers/"

// WorkerSpecs returns the workers of all groups.
func (s Settings) WorkerSpecs() []fleet.Spec {
	var specs []fleet.Spec
	for _, group := range s.Workers {
		group = group.withDefaults()
		for n := range group.Count {
			rack := string(group.DataCentre) + "-" + group.Prefix + "rack" + strconv.Itoa(n/group.PerRack+1)
			specs = append(specs, fleet.Spec{
				ID: model.WorkerID(group.Prefix + strconv.Itoa(n+1)), DataCentre: group.DataCentre,
				Rack: model.RackID(rack), Capacity: group.Capacity,
			})
		}
	}
	return specs
}

// InitialInstances returns the instances that are on the list from the start: the configured ones and the workers.
func (s Settings) InitialInstances() []ports.Instance {
	instances := make([]ports.Instance, 0, len(s.Instances))
	for _, instance := range s.Instances {
		if instance.Presence == "" {
			instance.Presence = ports.PresenceLive
		}
		instances = append(instances, instance)
	}
	for _, spec := range s.WorkerSpecs() {
		instances = append(instances, ports.Instance{
			ID: string(spec.ID), Role: ports.RoleWorker, DataCentre: spec.DataCentre, Rack: spec.Rack,
			Address: s.Listen + WorkerPath + string(spec.ID), Presence: ports.PresenceLive, Capacity: spec.Capacity,
		})
	}
	return instances
}
