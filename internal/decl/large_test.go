package decl_test

import (
	"fmt"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// largeSet returns a set of the size expected within two years: 280 teams and 16 data centres.
func largeSet() decl.Set {
	var set decl.Set
	for i := range 6 {
		set.Organisations = append(set.Organisations, decl.Organisation{Name: model.OrganisationID(fmt.Sprint("o", i))})
	}
	for i := range 280 {
		name := fmt.Sprintf("team-%03d", i)
		set.Teams = append(set.Teams, decl.Team{
			Name: model.TeamID(name), Organisation: "o1", Share: 1, Keys: []model.KeyHash{model.HashKey(name)},
		})
	}
	for i := range 16 {
		set.DataCentres = append(set.DataCentres, decl.DataCentre{Name: model.DataCentreID(fmt.Sprint("dc", i)), Region: "west"})
	}
	return set.Indexed()
}
